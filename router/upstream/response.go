package upstream

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/responsehead"
)

// checkResponse returns an error for a response with the outcome not-run, and for
// one whose end cannot be distinguished from a broken connection.
func checkResponse(method string, resp *http.Response) (*Response, error) {
	if resp.Header.Get(errkind.HeaderOutcome) == string(errkind.NotRun) {
		defer resp.Body.Close()
		return nil, refusalError(resp)
	}
	chunked := slices.Contains(resp.TransferEncoding, "chunked")
	if resp.ContentLength < 0 && !chunked && method != http.MethodHead {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerIncomplete, "the upstream's response has neither a length nor chunked coding")
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength}, nil
}

// refusalError returns the error for a response with the outcome not-run.
func refusalError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBody))
	err := errkind.New(refusalKind(resp), "the upstream refused the work: status %d %s", resp.StatusCode, strings.TrimSpace(string(text)))
	if seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return err
}

// refusalKind returns the kind named by the upstream if it is Overloaded or one that a
// retry does not change, and UpstreamRefused otherwise. A 503 without a kind counts
// as load shedding by the upstream.
func refusalKind(resp *http.Response) errkind.Kind {
	named := errkind.Kind(resp.Header.Get(errkind.HeaderError))
	switch named {
	case errkind.BadRequest, errkind.NotFound, errkind.TooLarge, errkind.DeadlinePassed, errkind.Overloaded:
		return named
	case "":
		if resp.StatusCode == http.StatusServiceUnavailable {
			return errkind.Overloaded
		}
	}
	return errkind.UpstreamRefused
}

// responseBody adds a kind to read errors and releases the request's resources when
// it is closed.
type responseBody struct {
	// resp has the trailer once its body has been read.
	resp   *http.Response
	cancel context.CancelCauseFunc
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		err = cmp.Or(responsehead.CheckTrailer(b.resp.Trailer), io.EOF)
	}
	if err != nil && err != io.EOF {
		err = errkind.New(errkind.AnswerIncomplete, "the upstream's response was cut short: %w", err)
	}
	return n, err
}

func (b *responseBody) Close() error {
	err := b.resp.Body.Close()
	b.cancel(nil)
	return err
}
