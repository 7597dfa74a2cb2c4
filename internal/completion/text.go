package completion

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// partTypeText is the only supported type of content part.
const partTypeText = "text"

// Text is text that clients send in one of several forms: a string, null, a list of
// content parts or a list of strings. It is encoded as a string.
type Text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var single *string
	if json.Unmarshal(data, &single) == nil {
		if single != nil {
			*t = Text(*single)
		}
		return nil
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("text must be a string or a list of text parts")
	}
	var b strings.Builder
	for i, raw := range parts {
		part, err := decodePart(raw)
		if err != nil {
			return errors.Wrapf(err, "part %d", i)
		}
		b.WriteString(part)
	}
	*t = Text(b.String())
	return nil
}

func decodePart(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var part struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &part); err != nil {
		return "", errors.New("must be a string or an object with type and text")
	}
	if part.Type != partTypeText {
		return "", errors.Errorf("type %q is not served, only %q", part.Type, partTypeText)
	}
	return part.Text, nil
}

// ErrorResponse is the body of an error response in the form that clients of the
// completions calls expect.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"` // one of the types below, such as InvalidRequestError
	Code    string `json:"code"` // outcome of the request, a call.Outcome
}

// Types of errors.
const (
	InvalidRequestError = "invalid_request_error"
	AuthenticationError = "authentication_error"
	RateLimitError      = "rate_limit_error"
	ServerError         = "server_error"
)

// ModelList is the body of the response that lists the models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that a customer can use.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// NewModelList returns the list of the named models.
func NewModelList(names []string) ModelList {
	l := ModelList{Object: "list", Data: []Model{}}
	for _, n := range names {
		l.Data = append(l.Data, Model{ID: n, Object: "model", OwnedBy: "lagoonmux"})
	}
	return l
}
