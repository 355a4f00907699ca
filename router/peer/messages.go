package peer

import (
	"encoding/json"
	"time"

	"burdockglade.dev/router/errkind"
)

// Methods of the set-up of a connection.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// helloRequest opens a connection.
type helloRequest struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation,string"`
	Nonce       []byte `json:"nonce"`
}

// helloAnswer proves that the server knows the secret and asks for the same.
type helloAnswer struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation,string"`
	Nonce       []byte `json:"nonce"`
	Proof       []byte `json:"proof"`
}

// proveRequest proves that the client knows the secret.
type proveRequest struct {
	Proof []byte `json:"proof"`
}

// empty is the answer of a method that returns nothing.
type empty struct{}

// failure carries an error kind in the data of a JSON-RPC error.
type failure struct {
	Kind       errkind.Kind  `json:"kind"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retry_after"`
}

// codeFailure is the JSON-RPC error code of an error with a kind.
const codeFailure = 1

func encodeFailure(err error) *json.RawMessage {
	f := failure{Kind: errkind.Of(err), Detail: err.Error()}
	if e, ok := err.(*errkind.Error); ok {
		f.Detail = e.Detail
		f.RetryAfter = e.RetryAfter
	}
	data, marshalErr := json.Marshal(f)
	if marshalErr != nil {
		return nil
	}
	raw := json.RawMessage(data)
	return &raw
}

func decodeFailure(data *json.RawMessage) (*errkind.Error, bool) {
	if data == nil {
		return nil, false
	}
	var f failure
	if err := json.Unmarshal(*data, &f); err != nil || f.Kind == "" {
		return nil, false
	}
	return &errkind.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter}, true
}
