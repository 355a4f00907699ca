package gate

import (
	"io"
	"net/http"
	"strconv"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/upstream"
)

var eventCut = event.Define(1251, log.WarnLevel, "answer was cut",
	"the upstream or the caller ended its connection in the middle of an answer",
	"look at the upstream's log when this repeats; the caller's connection was aborted")

const (
	// smallAnswer is the length up to which an answer is read as a whole
	// before its headers are sent, so that a cut one becomes a refusal.
	smallAnswer = 32 << 10
	copyBuffer  = 32 << 10
)

// deliver passes the upstream's answer to the caller. It returns whether the
// answer arrived whole from the upstream. An error means that nothing was
// written.
func (j *job) deliver(f *flight, answer *upstream.Answer) (whole bool, err error) {
	header := upstream.EndToEnd(answer.Header)
	header.Set(upstream.HeaderGeneration, strconv.FormatUint(j.permit.Generation, 10))
	if answer.ContentLength >= 0 && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	if answer.ContentLength > smallAnswer || answer.ContentLength < 0 && j.r.Method != http.MethodHead {
		j.stream(f, answer, header)
		return true, nil
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		j.lose(f)
		return false, err
	}
	kept := &StoredResponse{Status: answer.Status, Header: header, Body: body}
	j.finish(f, kept)
	j.writeKept(kept)
	return true, nil
}

// writeKept writes a whole answer.
func (j *job) writeKept(kept *StoredResponse) {
	j.writeHeader(kept.Status, kept.Header)
	if len(kept.Body) == 0 {
		return
	}
	if _, err := j.w.Write(kept.Body); err != nil {
		j.abort(err)
	}
}

func (j *job) writeHeader(status int, header http.Header) {
	h := j.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(upstream.HeaderRequestID, j.req.ID)
	j.w.WriteHeader(status)
}

// stream copies a long answer as it arrives.
func (j *job) stream(f *flight, answer *upstream.Answer, header http.Header) {
	control := http.NewResponseController(j.w)
	// The write deadline ends a copy to a connection that went silent. It is
	// removed at the end because the connection may carry further requests.
	if control.SetWriteDeadline(j.deadline) == nil {
		defer control.SetWriteDeadline(zeroTime)
	}
	j.writeHeader(answer.Status, header)
	keep := &boundedBuffer{limit: j.gate.journal.limits.ResponseBytes, full: !j.once}
	if err := j.copyBody(control, answer, keep); err != nil {
		j.lose(f)
		j.abort(err)
	}
	j.finish(f, keep.answer(answer.Status, header))
}

func (j *job) copyBody(control *http.ResponseController, answer *upstream.Answer, keep *boundedBuffer) error {
	buffer := make([]byte, copyBuffer)
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			keep.add(buffer[:n])
			if _, err := j.w.Write(buffer[:n]); err != nil {
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

// abort ends the caller's connection, so that the caller cannot take what it
// got for a whole answer.
func (j *job) abort(err error) {
	j.gate.opts.Log.Log(eventCut, event.F("service", j.req.Service), event.F("request", j.req.ID),
		event.F("kind", string(errkind.Of(err))), event.F("error", err.Error()))
	panic(http.ErrAbortHandler)
}

// boundedBuffer keeps a copy of a body up to a limit.
type boundedBuffer struct {
	limit int
	body  []byte
	full  bool
}

func (b *boundedBuffer) add(p []byte) {
	if b.full {
		return
	}
	if len(b.body)+len(p) > b.limit {
		b.full, b.body = true, nil
		return
	}
	b.body = append(b.body, p...)
}

// answer returns nil when the body did not fit.
func (b *boundedBuffer) answer(status int, header http.Header) *StoredResponse {
	if b.full {
		return nil
	}
	return &StoredResponse{Status: status, Header: header, Body: b.body}
}
