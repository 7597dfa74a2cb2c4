package dynamo

import (
	"net"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Cancellation reasons that the service reports for each write of a transaction.
const (
	CodeConditionFailed = "ConditionalCheckFailed"
	CodeConflict        = "TransactionConflict"
)

const minServerErrorStatus = 500

// readError wraps the error of a read as platform.ErrUnavailable: a read has no
// effect, so its outcome is never unknown.
func readError(op string, err error) error {
	return errors.Wrapf(platform.ErrUnavailable, "%s: %v", op, err)
}

// commitError classifies the error of a commit by its effect: none because a
// condition failed, none for another reason, or unknown.
func commitError(err error) error {
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return errors.Wrapf(cancellationError(canceled), "commit: %v", err)
	}
	if dialFailed(err) || isClientError(err) {
		return errors.Wrapf(platform.ErrUnavailable, "commit: %v", err)
	}
	return errors.Wrapf(platform.ErrOutcomeUnknown, "commit: %v", err)
}

// cancellationError returns ErrConflict if a condition failed, else ErrUnavailable:
// the transaction collided with another one and may succeed when it is retried.
func cancellationError(e *types.TransactionCanceledException) error {
	for _, r := range e.CancellationReasons {
		if r.Code != nil && *r.Code == CodeConditionFailed {
			return platform.ErrConflict
		}
	}
	return platform.ErrUnavailable
}

// dialFailed reports whether the call failed before it had a connection.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isClientError reports whether the service rejected the call with a status below
// 500, and so without effect. After a server error, the effect is unknown.
func isClientError(err error) bool {
	var re *awshttp.ResponseError
	var api smithy.APIError
	if !errors.As(err, &re) || !errors.As(err, &api) {
		return false
	}
	return re.HTTPStatusCode() < minServerErrorStatus
}
