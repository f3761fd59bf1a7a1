package postgres

// This file owns the meaning of errors.

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"

	"onyxgate/internal/record"
)

// SQLSTATE codes, and the first two letters of classes of them, as PostgreSQL publishes them.
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

// classLength is how many letters of a code are its class.
const classLength = 2

// classify says what an error means for the next batch.
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
	case integrityViolation: // the same row from two at once: by the next try one has it
		return record.ExportConflict
	}
	return record.ExportDenied
}
