package postgres

// Classification of errors.

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"onyxgate/internal/record"
)

// SQLSTATE codes, and two-character classes of codes, as documented by PostgreSQL.
const (
	serializationFailure = "40001"
	deadlockDetected     = "40P01"
	lockNotAvailable     = "55P03"

	connectionException   = "08"
	integrityViolation    = "23"
	insufficientResources = "53"
	operatorIntervention  = "57"
	systemError           = "58"
)

// classLength is the length of the class prefix of a code.
const classLength = 2

// classify maps an error to an export result.
func classify(err error) record.ExportResult {
	var reported *pgconn.PgError
	if errors.As(err, &reported) {
		return classifyCode(reported.Code)
	}
	var connect *pgconn.ConnectError
	if errors.As(err, &connect) || pgconn.SafeToRetry(err) {
		return record.ExportUnreachable
	}
	return record.ExportUnknown
}

func classifyCode(code string) record.ExportResult {
	switch code {
	case serializationFailure, deadlockDetected:
		return record.ExportConflict
	case lockNotAvailable:
		return record.ExportBusy
	}
	switch code[:min(classLength, len(code))] {
	case insufficientResources:
		return record.ExportBusy
	case operatorIntervention, connectionException, systemError:
		return record.ExportUnreachable
	case integrityViolation: // concurrent inserts of the same row; one of them has committed by the next attempt
		return record.ExportConflict
	}
	return record.ExportDenied
}
