package peer

import (
	"encoding/json"
	"time"

	"burdockglade.dev/router/errkind"
)

// Methods of the handshake.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// helloRequest is the first message on a connection.
type helloRequest struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation,string"`
	Nonce       []byte `json:"nonce"`
}

// helloResponse proves that the server knows the secret. Its nonce is the challenge
// to the client.
type helloResponse struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation,string"`
	Nonce       []byte `json:"nonce"`
	Proof       []byte `json:"proof"`
}

// proveRequest proves that the client knows the secret.
type proveRequest struct {
	Proof []byte `json:"proof"`
}

// empty is the response of a method that returns nothing.
type empty struct{}

// errorData is the data of a JSON-RPC error. It has the kind of the error.
type errorData struct {
	Kind       errkind.Kind  `json:"kind"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retry_after"`
}

// codeKindedError is the JSON-RPC error code of an error with errorData.
const codeKindedError = 1

// encodeErrorData returns the encoded errorData of err.
func encodeErrorData(err error) *json.RawMessage {
	f := errorData{Kind: errkind.Of(err), Detail: err.Error()}
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

// decodeErrorData returns the error sent by the peer. It returns false if data is
// not an errorData.
func decodeErrorData(data *json.RawMessage) (*errkind.Error, bool) {
	if data == nil {
		return nil, false
	}
	var f errorData
	if err := json.Unmarshal(*data, &f); err != nil || f.Kind == "" {
		return nil, false
	}
	return &errkind.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter}, true
}
