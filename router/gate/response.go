package gate

import (
	"io"
	"net/http"
	"strconv"

	"github.com/phuslu/log"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/upstream"
)

var eventTruncated = event.Define(1251, log.WarnLevel, "response was truncated",
	"the upstream or the caller closed its connection in the middle of a response; the caller's connection was aborted",
	"check the upstream's log if this repeats")

const (
	// maxBufferedResponse is the size in bytes up to which a response is read
	// completely before its headers are sent, so that a truncated one becomes an
	// error for the caller instead of an aborted connection.
	maxBufferedResponse = 32 << 10
	// copyBufferSize is the size in bytes of the buffer for longer responses.
	copyBufferSize = 32 << 10
)

// forwardResponse sends the upstream's response to the caller and reports whether
// it arrived completely from the upstream. If it returns an error, nothing was
// written to the caller.
func (h *requestHandler) forwardResponse(inFlight *inFlightRequest, response *upstream.Response) (complete bool, err error) {
	header := upstream.EndToEndHeader(response.Header)
	header.Set(upstream.HeaderGeneration, strconv.FormatUint(h.permit.Generation, 10))
	if response.ContentLength >= 0 && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	held := response.ContentLength
	if held < 0 || held > maxBufferedResponse {
		held = copyBufferSize
	}
	connguard.ChargeResponse(h.r.Context(), held)
	if response.ContentLength > maxBufferedResponse || response.ContentLength < 0 && h.r.Method != http.MethodHead {
		h.streamResponse(inFlight, response, header)
		return true, nil
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		h.endUnknown(inFlight)
		return false, err
	}
	stored := &StoredResponse{Status: response.Status, Header: header, Body: body}
	h.endDone(inFlight, stored)
	h.writeStored(stored)
	return true, nil
}

// writeStored writes a complete response to the caller. It aborts the handler if
// the write fails.
func (h *requestHandler) writeStored(stored *StoredResponse) {
	h.writeHeader(stored.Status, stored.Header)
	if len(stored.Body) == 0 {
		return
	}
	if _, err := h.w.Write(stored.Body); err != nil {
		h.abort(err)
	}
}

func (h *requestHandler) writeHeader(status int, header http.Header) {
	dst := h.w.Header()
	for name, values := range header {
		dst[name] = values
	}
	dst.Set(upstream.HeaderRequestID, h.req.ID)
	h.w.WriteHeader(status)
}

// streamResponse copies a long response to the caller as it arrives. It aborts the
// handler if the response is truncated.
func (h *requestHandler) streamResponse(inFlight *inFlightRequest, response *upstream.Response, header http.Header) {
	control := http.NewResponseController(h.w)
	// The write deadline ends the copy if the connection to the caller stalls.
	// It is removed afterwards because the connection may be reused.
	if control.SetWriteDeadline(h.deadline) == nil {
		defer control.SetWriteDeadline(noDeadline)
	}
	h.writeHeader(response.Status, header)
	stored := &boundedBuffer{limit: h.gate.journal.limits.ResponseBytes, overflowed: !h.nonIdempotent}
	if err := h.copyBody(control, response, stored); err != nil {
		h.endUnknown(inFlight)
		h.abort(err)
	}
	h.endDone(inFlight, stored.response(response.Status, header))
}

func (h *requestHandler) copyBody(control *http.ResponseController, response *upstream.Response, stored *boundedBuffer) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			stored.add(buffer[:n])
			if _, err := h.w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// abort closes the caller's connection by a panic, so that the caller cannot
// mistake a partial response for a complete one.
func (h *requestHandler) abort(err error) {
	h.gate.opts.Log.Log(eventTruncated, event.F("service", h.req.Service), event.F("request", h.req.ID),
		event.F("kind", string(errkind.Of(err))), event.F("error", err.Error()))
	panic(http.ErrAbortHandler)
}

// boundedBuffer holds a copy of a response body of at most limit bytes.
type boundedBuffer struct {
	limit int
	body  []byte
	// overflowed is true once the body exceeds the limit, or from the start if
	// no copy is needed.
	overflowed bool
}

func (b *boundedBuffer) add(p []byte) {
	if b.overflowed {
		return
	}
	if len(b.body)+len(p) > b.limit {
		b.overflowed, b.body = true, nil
		return
	}
	b.body = append(b.body, p...)
}

// response returns the stored response, or nil if the body was not copied
// completely.
func (b *boundedBuffer) response(status int, header http.Header) *StoredResponse {
	if b.overflowed {
		return nil
	}
	return &StoredResponse{Status: status, Header: header, Body: b.body}
}
