// Package dynamo is the client of a table service with the JSON protocol of
// DynamoDB.
//
// The protocol was chosen because it has what platform.Table needs, conditional
// transactions of several rows and a token that makes retries idempotent, and
// because a maintained client library exists.
package dynamo

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/httpcheck"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Name of the table and the attributes of its rows.
const (
	TableName     = "lagoonmux"
	AttrPartition = "p" // string, partition key
	AttrName      = "n" // string, sort key
	AttrVersion   = "v" // number
	AttrValue     = "d" // binary
)

// Expressions used in the requests; the service needs to support only these.
const (
	ConditionVersion = "v = :v"
	ConditionAbsent  = "attribute_not_exists(v)"
	UpdateAlways     = "SET d = :d ADD v :one"
	QueryAfter       = "p = :p AND n > :n"
)

// MaxWrites is the largest number of writes in one commit.
const MaxWrites = 100

const (
	region         = "local" // the endpoint is configured, so the region is used only for signing
	callTimeout    = 2 * time.Second
	dialTimeout    = 500 * time.Millisecond
	idleTimeout    = 10 * time.Second
	maxConnections = 64
)

// Options has the address of the service and the keys that sign the requests.
type Options struct {
	Endpoint  string // URL
	AccessKey string
	SecretKey string
}

// Table implements platform.Table. Its methods are safe for concurrent use.
type Table struct {
	client    *dynamodb.Client
	transport *http.Transport
}

// New returns a client of the service at o.Endpoint. It connects on the first
// call. The retries of the AWS library are off, since the callers of
// platform.Table decide whether a failed call may be retried.
func New(o Options) *Table {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleTimeout,
	}
	httpcheck.SetTransport(tr)
	client := dynamodb.New(dynamodb.Options{
		Region:       region,
		BaseEndpoint: aws.String(o.Endpoint),
		Credentials:  credentials.NewStaticCredentialsProvider(keyOrNone(o.AccessKey), keyOrNone(o.SecretKey), ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   &http.Client{Transport: tr},
	})
	return &Table{client: client, transport: tr}
}

// keyOrNone replaces an empty key, which the library would not sign with.
func keyOrNone(key string) string {
	if key == "" {
		return "none"
	}
	return key
}

// Close closes idle connections.
func (t *Table) Close() { t.transport.CloseIdleConnections() }

// Get implements platform.Table with a strongly consistent read.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(TableName),
		Key:            keyOf(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return platform.Row{}, readError("get", err)
	}
	if len(out.Item) == 0 {
		return platform.Row{}, platform.ErrNotFound
	}
	return rowOf(out.Item)
}

// Scan implements platform.Table with a strongly consistent query.
func (t *Table) Scan(ctx context.Context, partition, after string, limit int) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := t.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              aws.String(TableName),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String(QueryAfter),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": stringValue(partition),
			":n": stringValue(after + "\x00"),
		},
		Limit: aws.Int32(int32(limit)),
	})
	if err != nil {
		return nil, readError("scan", err)
	}
	rows := make([]platform.Row, 0, len(out.Items))
	for _, item := range out.Items {
		row, err := rowOf(item)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Commit implements platform.Table. The token may have up to 36 characters.
func (t *Table) Commit(ctx context.Context, token string, writes []platform.Write) error {
	if len(writes) > MaxWrites {
		return errors.Wrapf(platform.ErrUnavailable, "commit: %d writes exceed %d", len(writes), MaxWrites)
	}
	items := make([]types.TransactWriteItem, len(writes))
	for i := range writes {
		items[i] = writeItem(&writes[i])
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(token),
		TransactItems:      items,
	})
	return commitError(err)
}

func writeItem(w *platform.Write) types.TransactWriteItem {
	name := aws.String(TableName)
	condition, values := conditionOf(w.Version)
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: name, Key: keyOf(w.Key), ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
	if w.Version == platform.AnyVersion {
		return types.TransactWriteItem{Update: &types.Update{
			TableName: name, Key: keyOf(w.Key), UpdateExpression: aws.String(UpdateAlways),
			ExpressionAttributeValues: map[string]types.AttributeValue{":d": binaryValue(w.Value), ":one": numberValue(1)},
		}}
	}
	item := keyOf(w.Key)
	item[AttrVersion] = numberValue(w.Version + 1)
	item[AttrValue] = binaryValue(w.Value)
	return types.TransactWriteItem{Put: &types.Put{
		TableName: name, Item: item, ConditionExpression: condition, ExpressionAttributeValues: values,
	}}
}

func conditionOf(version int64) (*string, map[string]types.AttributeValue) {
	switch version {
	case platform.AnyVersion:
		return nil, nil
	case 0:
		return aws.String(ConditionAbsent), nil
	default:
		return aws.String(ConditionVersion), map[string]types.AttributeValue{":v": numberValue(version)}
	}
}

func keyOf(key string) map[string]types.AttributeValue {
	partition, name, _ := strings.Cut(key, "/")
	return map[string]types.AttributeValue{AttrPartition: stringValue(partition), AttrName: stringValue(name)}
}

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func binaryValue(b []byte) types.AttributeValue { return &types.AttributeValueMemberB{Value: b} }

func numberValue(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

// rowOf decodes an item. It fails if an attribute is missing or has another type.
func rowOf(item map[string]types.AttributeValue) (platform.Row, error) {
	p, okP := item[AttrPartition].(*types.AttributeValueMemberS)
	n, okN := item[AttrName].(*types.AttributeValueMemberS)
	v, okV := item[AttrVersion].(*types.AttributeValueMemberN)
	d, okD := item[AttrValue].(*types.AttributeValueMemberB)
	if !okP || !okN || !okV || !okD {
		return platform.Row{}, errors.New("decode table row: attribute p, n, v or d is missing or has the wrong type")
	}
	version, err := strconv.ParseInt(v.Value, 10, 64)
	if err != nil {
		return platform.Row{}, errors.Wrap(err, "decode version of table row")
	}
	return platform.Row{Key: p.Value + "/" + n.Value, Version: version, Value: d.Value}, nil
}
