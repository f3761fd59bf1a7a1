package spool

// What tests outside of the package see of its file names.
const (
	SegmentSuffix = segmentSuffix
	OwnerName     = ownerName
)

var (
	Join        = join
	SegmentName = segmentName
)

// SegmentNumbers lists the segments in a directory.
func SegmentNumbers(files FS, dir string) (numbers []uint64) {
	for _, segment := range listSegments(files, dir) {
		numbers = append(numbers, segment.number)
	}
	return numbers
}
