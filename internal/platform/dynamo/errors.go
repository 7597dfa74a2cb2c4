package dynamo

import (
	"net"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Codes by which the service says why a write of a transaction was cancelled.
const (
	CodeConditionFailed = "ConditionalCheckFailed"
	CodeConflict        = "TransactionConflict"
)

const firstServerError = 500

// readError classifies a failed read, which leaves no effect.
func readError(op string, err error) error {
	return errors.Wrapf(platform.ErrUnavailable, "%s: %v", op, err)
}

// commitError classifies a failed commit by what it may have left behind.
func commitError(err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return errors.Wrapf(cancellationError(cancelled), "commit: %v", err)
	}
	if dialFailed(err) || isClientError(err) {
		return errors.Wrapf(platform.ErrUnavailable, "commit: %v", err)
	}
	return errors.Wrapf(platform.ErrOutcomeUnknown, "commit: %v", err)
}

// cancellationError tells a failed condition from a collision with another
// transaction, after which the same commit may succeed.
func cancellationError(e *types.TransactionCanceledException) error {
	for _, r := range e.CancellationReasons {
		if r.Code != nil && *r.Code == CodeConditionFailed {
			return platform.ErrConflict
		}
	}
	return platform.ErrUnavailable
}

// dialFailed tells whether the call failed before a connection existed.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isClientError tells whether the service answered that it did nothing. Server errors
// do not say so.
func isClientError(err error) bool {
	var re *awshttp.ResponseError
	var api smithy.APIError
	if !errors.As(err, &re) || !errors.As(err, &api) {
		return false
	}
	return re.HTTPStatusCode() < firstServerError
}
