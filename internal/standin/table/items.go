package table

import (
	"strconv"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/dynamo"
)

// attribute is DynamoDB's AttributeValue. One field is set.
type attribute struct {
	S string `json:",omitempty"` // string
	N string `json:",omitempty"` // number
	B []byte `json:",omitempty"` // binary
}

// item holds attributes by name.
type item map[string]attribute

// key returns the row key: the partition key and the sort key, separated by a slash.
func (i item) key() string { return i[dynamo.AttrPartition].S + "/" + i[dynamo.AttrName].S }

// newItem returns row as an item.
func newItem(row platform.Row) item {
	i := splitKey(row.Key)
	i[dynamo.AttrVersion] = attribute{N: strconv.FormatInt(row.Version, 10)}
	i[dynamo.AttrValue] = attribute{B: row.Value}
	return i
}

// splitKey returns an item with the partition key (up to the first slash) and the sort
// key of a row key.
func splitKey(key string) item {
	for i := range len(key) {
		if key[i] == '/' {
			return item{dynamo.AttrPartition: {S: key[:i]}, dynamo.AttrName: {S: key[i+1:]}}
		}
	}
	return item{dynamo.AttrPartition: {S: key}}
}

// writeRequest holds the fields of Put, Update and Delete.
type writeRequest struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeValues item
}

// transactItem is one write of a transaction. One field is set.
type transactItem struct {
	Put    *writeRequest
	Update *writeRequest
	Delete *writeRequest
}

// write returns the write of t. It returns an error for an update expression or a
// condition that the dynamo package does not send.
func (t *transactItem) write() (platform.Write, error) {
	switch {
	case t.Put != nil:
		version, err := t.Put.expectedVersion()
		return platform.Write{Key: t.Put.Item.key(), Version: version, Value: t.Put.Item[dynamo.AttrValue].B}, err
	case t.Delete != nil:
		version, err := t.Delete.expectedVersion()
		return platform.Write{Key: t.Delete.Key.key(), Version: version, Delete: true}, err
	case t.Update != nil && t.Update.UpdateExpression == dynamo.UpdateAlways:
		value := t.Update.ExpressionAttributeValues[":d"].B
		return platform.Write{Key: t.Update.Key.key(), Version: platform.AnyVersion, Value: value}, nil
	default:
		return platform.Write{}, errors.New("unsupported write")
	}
}

// expectedVersion returns the row version required by the condition: 0 if the row must
// not exist, platform.AnyVersion without a condition.
func (c *writeRequest) expectedVersion() (int64, error) {
	switch c.ConditionExpression {
	case "":
		return platform.AnyVersion, nil
	case dynamo.ConditionAbsent:
		return 0, nil
	case dynamo.ConditionVersion:
		return strconv.ParseInt(c.ExpressionAttributeValues[":v"].N, 10, 64)
	default:
		return 0, errors.Errorf("unsupported condition %q", c.ConditionExpression)
	}
}
