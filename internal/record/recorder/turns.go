package recorder

// Reading the incarnation to export next, and logging of read and export failures. Which incarnation is next and how
// read failures are handled is decided by package record.

import (
	"github.com/sirupsen/logrus"

	"onyxgate/internal/record"
)

// nextIncarnation returns the incarnation to export next, with rows already read, or nil if there is nothing to export.
// The caller must hold mu.
func (e *exporter) nextIncarnation() *incarnationReader {
	runningPending := e.readRunning()
	for {
		e.skipRefused()
		switch e.scheduler.NextSource(runningPending, len(e.earlier) > 0) {
		case record.SourceRunning:
			return e.running
		case record.SourceEarlier:
			if e.readEarlier() {
				return e.earlier[0]
			}
		default:
			return nil
		}
	}
}

// readRunning reads ahead in the running incarnation and reports whether it has rows to export.
func (e *exporter) readRunning() (hasRows bool) {
	if e.running == nil {
		return false
	}
	err := e.running.read(e.config.MaxBatchRows)
	if err != nil && record.SourceRunning.OnReadError() == record.RetryRead {
		e.logFailure(err, record.ExportUnreachable)
	}
	logDefects(e.running)
	hasRows = e.running.hasPending()
	e.oldestWaiting = 0
	if hasRows && e.running.rows[0].Gap == nil {
		e.oldestWaiting = e.running.rows[0].Entry.AnsweredAt
	}
	return hasRows
}

// readEarlier reads ahead in the first of the earlier incarnations and reports whether it could be read.
func (e *exporter) readEarlier() bool {
	first := e.earlier[0]
	err := first.read(e.config.MaxBatchRows)
	logDefects(first)
	if err == nil {
		return true
	}
	if record.SourceEarlier.OnReadError() == record.KeepFiles {
		logrus.WithField("incarnation", first.incarnation).WithError(err).Error("an earlier incarnation can't be read, " +
			"its files stay: 'onyxgate record verify' shows what is wrong")
		e.closeFirstEarlier()
	}
	return false
}

func (e *exporter) skipRefused() {
	for len(e.earlier) > 0 && e.earlier[0].refused {
		e.closeFirstEarlier()
	}
}

// closeFirstEarlier stops reading the first of the earlier incarnations and removes it from the list.
func (e *exporter) closeFirstEarlier() {
	e.earlier[0].reader.Close()
	e.earlier = e.earlier[1:]
}

// logFailure logs a failure unless the previous one was of the same kind.
func (e *exporter) logFailure(err error, result record.ExportResult) {
	if result != e.lastResult {
		logrus.WithFields(logrus.Fields{"store": e.config.Kind, "reply": result.String()}).WithError(err).
			Warn("record can't be shipped")
		e.lastResult = result
	}
}

// logDefects logs the defects that have not been logged yet.
func logDefects(from *incarnationReader) {
	all := from.reader.Replay.Defects
	for _, defect := range all[min(from.loggedDefects, len(all)):] {
		logrus.WithFields(logrus.Fields{"incarnation": from.incarnation, "defect": defect.String()}).
			Error("record is damaged")
	}
	from.loggedDefects = len(all)
}
