package spool

// Internal names used by external tests.
const (
	SegmentSuffix = segmentSuffix
	OwnerName     = ownerName
)

var (
	Join        = join
	SegmentName = segmentName
)

// SegmentNumbers returns the numbers of the segments in a directory.
func SegmentNumbers(files FS, dir string) (numbers []uint64) {
	for _, segment := range listSegments(files, dir) {
		numbers = append(numbers, segment.number)
	}
	return numbers
}
