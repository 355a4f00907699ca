package standin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"burdockglade.dev/stores/standin"
)

// post sends a POST for the key k with the query.
func post(t *testing.T, u *standin.Upstream, query string) (status int, body []byte) {
	t.Helper()
	resp, err := http.Post("http://"+u.Address()+"/orders/k?"+query, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body
}

// Guards against responses of another size than the request asks for. Sizes of about that
// of the response without padding are the border case.
func TestResponseSizeOfQuery(t *testing.T) {
	u := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindPlain})
	for _, size := range []int{1, 420, 440, 460, 480, 500, 90_000, 540_000} {
		status, body := post(t, u, fmt.Sprintf("answer_bytes=%d", size))
		if status != http.StatusOK || len(body) < size || (size >= 1000 && len(body) != size) {
			t.Errorf("status %d with %d bytes, want %d", status, len(body), size)
		}
	}
}

// Guards against requests whose calls are not made or not seen to fail, and against runs
// that are committed although a call failed.
func TestCallsOfRequests(t *testing.T) {
	called := startUpstream(t, standin.UpstreamOptions{Service: "bills", Kind: standin.KindPlain})
	u := startUpstream(t, standin.UpstreamOptions{Kind: standin.KindPlain, CallRouter: "http://" + called.Address()})
	const query = "call=bills%2Fa&call=bills%2Fb"
	var response standin.EchoResponse
	if status, body := post(t, u, query); status != http.StatusOK || json.Unmarshal(body, &response) != nil || response.Calls != 2 {
		t.Errorf("status %d %s, want two calls", status, body)
	}
	if units := called.Ledger().Units; len(units) != 2 || units[0].Key != "a" || units[1].Key != "b" {
		t.Errorf("calls %+v, want a and b", units)
	}
	if err := called.SetFaults(standin.UpstreamFaults{Shed: true}); err != nil {
		t.Fatal(err)
	}
	var failed standin.CallFailure
	status, body := post(t, u, query)
	if status != http.StatusBadGateway || json.Unmarshal(body, &failed) != nil || failed.Kind != standin.KindCallFailed || failed.URI != "/orders/k?"+query {
		t.Errorf("status %d %s, want a failed call", status, body)
	}
	if units := u.Ledger().Units; len(units) != 2 || units[1].State != standin.UnitAbandoned {
		t.Errorf("units %+v, want the second one abandoned", units)
	}
	for _, query := range []string{"call=bills", "call=%2Fa", "answer_bytes=x", "answer_bytes=-1", "answer_bytes=9000000"} {
		if status, body := post(t, u, query); status != http.StatusBadRequest {
			t.Errorf("%s: status %d %s", query, status, body)
		}
	}
}
