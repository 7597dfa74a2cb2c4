package table

import (
	"strconv"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/dynamo"
)

// attribute is a typed value of the protocol, of which one field is set.
type attribute struct {
	S string `json:",omitempty"`
	N string `json:",omitempty"`
	B []byte `json:",omitempty"`
}

type item map[string]attribute

func (i item) key() string { return i[dynamo.AttrPartition].S + "/" + i[dynamo.AttrName].S }

func newItem(row platform.Row) item {
	i := splitKey(row.Key)
	i[dynamo.AttrVersion] = attribute{N: strconv.FormatInt(row.Version, 10)}
	i[dynamo.AttrValue] = attribute{B: row.Value}
	return i
}

func splitKey(key string) item {
	for i := range len(key) {
		if key[i] == '/' {
			return item{dynamo.AttrPartition: {S: key[:i]}, dynamo.AttrName: {S: key[i+1:]}}
		}
	}
	return item{dynamo.AttrPartition: {S: key}}
}

// writeRequest is what Put, Update and Delete have in common.
type writeRequest struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeValues item
}

type transactItem struct {
	Put    *writeRequest
	Update *writeRequest
	Delete *writeRequest
}

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

// expectedVersion returns the version that the condition asks for.
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
