package note

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/table"
)

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	Table   table.Store
	Objects object.Store
	// Log receives events. If nil, events are discarded.
	Log *event.Logger
	// Timeout is the timeout of one publication, including the time to resolve
	// an unknown outcome. Default DefaultPublishTimeout.
	Timeout time.Duration
}

// DefaultPublishTimeout is the default timeout of one publication. It allows for
// several store calls of 2s each, the default timeout of the store's client.
const DefaultPublishTimeout = 15 * time.Second

// Backoff between attempts to write.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Publisher publishes release notes. It is safe for concurrent use.
type Publisher struct {
	opts PublisherOptions
}

// NewPublisher returns a publisher. A timeout of 0 or less stands for the default.
func NewPublisher(o PublisherOptions) *Publisher {
	if o.Timeout <= 0 {
		o.Timeout = DefaultPublishTimeout
	}
	return &Publisher{opts: o}
}

// Result is the outcome of a publication that took effect.
type Result struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
	// Config is the configuration of the version. It is the zero value if the
	// head row already holds a later version.
	Config Config `json:"-"`
}

var publishIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

// ValidPublishID reports whether id is a valid publish id: 8 to 64 letters, digits
// and hyphens, such as a UUID.
func ValidPublishID(id string) bool {
	return publishIDPattern.MatchString(id)
}

// objectName returns the name of the object that holds a note's text.
func objectName(publishID string) string {
	return "notes/" + publishID
}

// digestBytes is the length of a note's digest. 16 bytes suffice to distinguish
// notes.
const digestBytes = 16

// digest returns the truncated SHA-256 of the text in hexadecimal.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}

// Publish publishes the note as the version after its base. It is idempotent: a
// call with the publish id and text of an earlier call returns the result of that
// call, regardless of later publications.
//
// Errors have one of these kinds. NoteInvalid, NoteConflict, BadRequest, Conflict
// (the publish id was used for a different text) and StoreUnavailable: the note
// has not taken effect and will not, unless another call with the publish id is
// in progress. OutcomeUnknown: the note may have taken effect or may still do so;
// another call with the same publish id resolves the outcome.
func (p *Publisher) Publish(ctx context.Context, publishID string, text []byte) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	a := &attempt{opts: p.opts, id: publishID, text: text, digest: digest(text)}
	result, err := a.run(ctx)
	p.logOutcome(publishID, result, err)
	return result, err
}

func (p *Publisher) logOutcome(publishID string, r Result, err error) {
	switch {
	case err == nil:
		p.opts.Log.Log(evPublished, event.F("publish_id", publishID), event.F("version", r.Version))
	case errkind.Is(err, errkind.OutcomeUnknown):
		p.opts.Log.Log(evOutcomeUnknown, event.F("publish_id", publishID), event.F("error", err.Error()))
	default:
		p.opts.Log.Log(evPublishRefused, event.F("publish_id", publishID), event.F("error", err.Error()))
	}
}

// Version returns the publication of a version and the text of its note. The
// error has the kind NotFound if the version is not in the log row.
func (p *Publisher) Version(ctx context.Context, version int64) (Publication, []byte, error) {
	log, _, err := readLog(ctx, p.opts.Table)
	if err != nil {
		return Publication{}, nil, errkind.New(errkind.StoreUnavailable, "%w", err)
	}
	entry, ok := findPublication(log, version)
	if !ok {
		return Publication{}, nil, errkind.New(errkind.NotFound, "version %d is not among the latest %d versions", version, LogLength)
	}
	text, err := p.opts.Objects.Get(ctx, objectName(entry.PublishID))
	if errors.Is(err, object.ErrNotFound) {
		return Publication{}, nil, errkind.New(errkind.NotFound, "the text of version %d: %w", version, err)
	}
	if err != nil {
		return Publication{}, nil, errkind.New(errkind.StoreUnavailable, "the text of version %d: %w", version, err)
	}
	return entry, text, nil
}

// attempt is one call of Publish.
type attempt struct {
	opts   PublisherOptions
	id     string
	text   []byte
	digest string
	note   Note
	// mayHaveCommitted is set if a write of the head row without a known outcome
	// may take effect. The write may be one of this call or of an earlier one.
	mayHaveCommitted bool
}

// rowState is the content of the head row and the log row.
type rowState struct {
	head        Config
	headVersion int64
	log         []Publication
	logVersion  int64
}

// run checks the note, resolves the outcome of an earlier call and otherwise
// writes the rows.
func (a *attempt) run(ctx context.Context) (Result, error) {
	if !ValidPublishID(a.id) {
		return Result{}, errkind.New(errkind.BadRequest, "publish id %q: want 8 to 64 letters, digits and hyphens", a.id)
	}
	n, err := Parse("note", a.text)
	if err != nil {
		return Result{}, err
	}
	a.note = n
	a.mayHaveCommitted = a.earlierWritePossible(ctx)
	s, err := a.read(ctx)
	if err != nil {
		return Result{}, a.storeError(err)
	}
	if result, done, err := a.findWinner(s); done {
		return result, err
	}
	next, err := Apply(n, s.head)
	if err != nil {
		return Result{}, err
	}
	next.PublishID = a.id
	if err := a.putText(ctx); err != nil {
		return Result{}, err
	}
	return a.commit(ctx, s, next)
}

// earlierWritePossible reports whether an earlier call with the publish id may
// have sent its write of the head row. Each call stores the note's text first, so
// if the text does not exist, no write was sent.
func (a *attempt) earlierWritePossible(ctx context.Context) bool {
	_, err := a.opts.Objects.Get(ctx, objectName(a.id))
	return !errors.Is(err, object.ErrNotFound)
}

// read reads the head row before the log row, so that the log includes the version
// of the head.
func (a *attempt) read(ctx context.Context) (rowState, error) {
	var s rowState
	var err error
	if s.head, s.headVersion, err = ReadHead(ctx, a.opts.Table); err != nil {
		return rowState{}, err
	}
	s.log, s.logVersion, err = readLog(ctx, a.opts.Table)
	return s, err
}

// findWinner returns done if the version after the note's base was already
// published. The result is that version if this publish id produced it; otherwise
// the error names the note that did, or has the kind OutcomeUnknown if the log no
// longer contains the version.
func (a *attempt) findWinner(s rowState) (r Result, done bool, err error) {
	winner, ok := findPublication(s.log, a.note.Base+1)
	switch {
	case ok && winner.PublishID == a.id && winner.Digest != a.digest:
		return Result{}, true, errkind.New(errkind.Conflict, "publish id %s was used for another note, version %d", a.id, winner.Version)
	case ok && winner.PublishID == a.id:
		return a.result(s, winner.Version), true, nil
	case ok:
		return Result{}, true, conflict(a.note.Base, winner)
	case s.head.Version > a.note.Base:
		return Result{}, true, errkind.New(errkind.OutcomeUnknown, "version %d is older than the latest %d versions, so it is unknown whether publish id %s produced it; version %d is in force", a.note.Base+1, LogLength, a.id, s.head.Version)
	}
	return Result{}, false, nil
}

// result returns the result of a publication that took effect earlier.
func (a *attempt) result(s rowState, version int64) Result {
	r := Result{Version: version, PublishID: a.id}
	if s.head.Version == version {
		r.Config = s.head
	}
	return r
}

// putText stores the note's text before the head row refers to it. The write is
// idempotent.
func (a *attempt) putText(ctx context.Context) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := a.opts.Objects.Put(ctx, objectName(a.id), a.text)
		if err == nil {
			return nil
		}
		if errors.Is(err, object.ErrExists) {
			return errkind.New(errkind.Conflict, "publish id %s was used for another note: %w", a.id, err)
		}
		if !errors.Is(err, object.ErrUnavailable) || !sleep(ctx, backoff) {
			return a.storeError(fmt.Errorf("writing the text of the note: %w", err))
		}
	}
}

// commit writes the head row and the log row, with retries. All attempts are
// conditional on the same row versions, so at most one of them takes effect.
func (a *attempt) commit(ctx context.Context, s rowState, next Config) (Result, error) {
	txn, err := a.transaction(s, next)
	if err != nil {
		return Result{}, err
	}
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err := a.opts.Table.Commit(ctx, txn)
		switch {
		case err == nil:
			return Result{Version: next.Version, PublishID: a.id, Config: next}, nil
		case errors.Is(err, table.ErrInvalid):
			return a.rejected(err)
		case errors.Is(err, table.ErrUnavailable) && !a.mayHaveCommitted:
			return Result{}, a.storeError(fmt.Errorf("writing %s: %w", HeadKey, err))
		case !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnavailable):
			a.mayHaveCommitted = true
		}
		result, done, err := a.resolve(ctx, err)
		if done {
			return result, err
		}
		if !sleep(ctx, backoff) {
			return Result{}, a.storeError(err)
		}
	}
}

// transaction returns the write of both rows, conditional on the versions read.
func (a *attempt) transaction(s rowState, next Config) (table.Txn, error) {
	head, err := EncodeHead(next)
	if err != nil {
		return table.Txn{}, errkind.New(errkind.Internal, "%w", err)
	}
	entry := Publication{Version: next.Version, PublishID: a.id, Digest: a.digest}
	log, err := json.Marshal(appendLog(s.log, entry))
	if err != nil {
		return table.Txn{}, errkind.New(errkind.Internal, "encoding %s: %w", LogKey, err)
	}
	return table.Txn{
		ID: a.id,
		Conditions: []table.Condition{
			{Key: HeadKey, Version: s.headVersion},
			{Key: LogKey, Version: s.logVersion},
		},
		Writes: []table.Write{
			{Key: HeadKey, Value: head},
			{Key: LogKey, Value: log},
		},
	}, nil
}

// rejected returns the error for a transaction that the table service rejects as
// invalid. An earlier write with an unknown outcome may still take effect.
func (a *attempt) rejected(cause error) (Result, error) {
	if a.mayHaveCommitted {
		return Result{}, a.outcomeUnknown(cause)
	}
	return Result{}, errkind.New(errkind.NoteInvalid, "the table service rejected the configuration: %w", cause)
}

// resolve reads the rows after a write that failed or whose outcome is unknown. If
// done is false, the write may be retried; err then holds the reason for the
// failure.
func (a *attempt) resolve(ctx context.Context, cause error) (r Result, done bool, err error) {
	s, err := a.read(ctx)
	if err != nil {
		if a.mayHaveCommitted {
			return Result{}, false, err
		}
		return Result{}, true, a.storeError(fmt.Errorf("%w; reading the rows to determine the outcome: %w", cause, err))
	}
	if r, done, err := a.findWinner(s); done {
		return r, true, err
	}
	return Result{}, false, cause
}

// storeError returns the error for a failed store call that left the outcome
// unresolved.
func (a *attempt) storeError(cause error) error {
	if a.mayHaveCommitted {
		return a.outcomeUnknown(cause)
	}
	return errkind.New(errkind.StoreUnavailable, "%w", cause)
}

func (a *attempt) outcomeUnknown(cause error) error {
	return errkind.New(errkind.OutcomeUnknown, "a write of version %d with publish id %s may have taken effect or may still do so; retry the publication with this publish id: %w", a.note.Base+1, a.id, cause)
}

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Preview returns the changes that the note would make to c, without publishing
// it. Errors are those of Parse and Check.
func Preview(file string, text []byte, c Config) (Difference, error) {
	n, err := Parse(file, text)
	if err != nil {
		return Difference{}, err
	}
	next, err := Apply(n, c)
	if err != nil {
		return Difference{}, err
	}
	return Diff(c, next), nil
}
