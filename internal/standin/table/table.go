// Package table is a stand-in for the platform's table service, in memory. It implements
// the part of DynamoDB's JSON protocol that the client in internal/platform/dynamo uses:
// GetItem, Query and TransactWriteItems, the last with client request tokens.
package table

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/dynamo"
)

// StatsPath returns the Stats of the service.
const StatsPath = "/debug/stats"

const (
	targetHeader = "X-Amz-Target"
	contentType  = "application/x-amz-json-1.0"
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
)

// Stats counts the requests since the start.
type Stats struct {
	Reads   int64 `json:"reads"`   // GetItem and Query
	Commits int64 `json:"commits"` // transactions, including failed ones
	Writes  int64 `json:"writes"`  // rows written in these transactions, including failed ones
}

// Server is one table service. Its methods may be called from any goroutine.
type Server struct {
	rows    *platform.MemoryTable
	reads   atomic.Int64
	commits atomic.Int64
	writes  atomic.Int64
}

// New returns an empty table service.
func New() *Server { return &Server{rows: platform.NewMemoryTable()} }

// apiError is an error response of the protocol.
type apiError struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []cancelReason `json:"CancellationReasons,omitempty"`
}

// cancelReason is the reason why a transaction was canceled.
type cancelReason struct {
	Code string `json:"Code"`
}

func (f *apiError) Error() string { return f.Type + ": " + f.Message }

func validationError(err error) error {
	return &apiError{Type: errorPrefix + "ValidationException", Message: err.Error()}
}

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == StatsPath {
		s.respond(ctx, s.Stats(), nil)
		return
	}
	_, op, _ := strings.Cut(string(ctx.Request.Header.Peek(targetHeader)), ".")
	var out any
	var err error
	switch op {
	case "GetItem":
		out, err = s.getItem(ctx.PostBody())
	case "Query":
		out, err = s.query(ctx.PostBody())
	case "TransactWriteItems":
		out, err = s.transact(ctx.PostBody())
	default:
		err = &apiError{Type: errorPrefix + "UnknownOperationException", Message: op}
	}
	s.respond(ctx, out, err)
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	return Stats{Reads: s.reads.Load(), Commits: s.commits.Load(), Writes: s.writes.Load()}
}

// respond sends out, or err as an error response.
func (s *Server) respond(ctx *fasthttp.RequestCtx, out any, err error) {
	status := fasthttp.StatusOK
	if err != nil {
		var f *apiError
		if !errors.As(err, &f) {
			f = &apiError{Type: errorPrefix + "InternalServerError", Message: err.Error()}
		}
		out, status = f, fasthttp.StatusBadRequest
	}
	data, err := json.Marshal(out)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(data)
}

func (s *Server) getItem(body []byte) (any, error) {
	s.reads.Add(1)
	var in struct{ Key item }
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, validationError(err)
	}
	row, err := s.rows.Get(context.Background(), in.Key.key())
	if errors.Is(err, platform.ErrNotFound) {
		return struct{}{}, nil
	}
	return struct{ Item item }{newItem(row)}, err
}

func (s *Server) query(body []byte) (any, error) {
	s.reads.Add(1)
	var in struct {
		KeyConditionExpression    string
		ExpressionAttributeValues item
		Limit                     int
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, validationError(err)
	}
	if in.KeyConditionExpression != dynamo.QueryAfter {
		return nil, validationError(errors.Errorf("unsupported condition %q", in.KeyConditionExpression))
	}
	after := strings.TrimSuffix(in.ExpressionAttributeValues[":n"].S, "\x00")
	rows, err := s.rows.Scan(context.Background(), in.ExpressionAttributeValues[":p"].S, after, in.Limit)
	items := make([]item, len(rows))
	for i, row := range rows {
		items[i] = newItem(row)
	}
	return struct {
		Count int
		Items []item
	}{len(items), items}, err
}

func (s *Server) transact(body []byte) (any, error) {
	s.commits.Add(1)
	var in struct {
		ClientRequestToken string
		TransactItems      []transactItem
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, validationError(err)
	}
	s.writes.Add(int64(len(in.TransactItems)))
	writes := make([]platform.Write, len(in.TransactItems))
	for i := range in.TransactItems {
		w, err := in.TransactItems[i].write()
		if err != nil {
			return nil, validationError(err)
		}
		writes[i] = w
	}
	err := s.rows.Commit(context.Background(), in.ClientRequestToken, writes)
	if errors.Is(err, platform.ErrConflict) {
		return nil, &apiError{
			Type: errorPrefix + "TransactionCanceledException", Message: "Transaction cancelled",
			Reasons: []cancelReason{{Code: dynamo.CodeConditionFailed}},
		}
	}
	return struct{}{}, err
}
