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

// PublisherOptions configure a Publisher.
type PublisherOptions struct {
	Table   table.Store
	Objects object.Store
	// Log receives events; nil discards them.
	Log *event.Logger
	// Timeout bounds one publication, the time to determine a lost outcome
	// included. Default DefaultPublishTimeout.
	Timeout time.Duration
}

// DefaultPublishTimeout is the default bound of one publication. It lies above a
// few calls of 2s, the default timeout of the store's client.
const DefaultPublishTimeout = 15 * time.Second

// Pauses between attempts.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Publisher publishes release notes. It is safe for concurrent use.
type Publisher struct {
	opts PublisherOptions
}

// NewPublisher returns a publisher.
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
	// Config is the configuration of the version. It is the zero value when a
	// later version has replaced it in the head row.
	Config Config `json:"-"`
}

var publishIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

// ValidPublishID reports whether the text can be a publish id: 8 to 64 letters,
// digits and hyphens, such as a UUID.
func ValidPublishID(id string) bool {
	return publishIDPattern.MatchString(id)
}

// objectName returns the name of a note's text in the object store.
func objectName(publishID string) string {
	return "notes/" + publishID
}

// digestBytes is the length of a note's digest. 16 bytes keep two notes apart.
const digestBytes = 16

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:digestBytes])
}

// Publish puts the note in force. A call with the publish id and text of an
// earlier call has the result of that call, whatever was published since.
//
// Errors have these kinds. NoteInvalid, NoteConflict, BadRequest, Conflict (the
// publish id names another text) and StoreUnavailable: the note did not take
// effect and will not, unless another call with the publish id is running.
// OutcomeUnknown: the note may take effect; a call with the same publish id
// determines the outcome.
func (p *Publisher) Publish(ctx context.Context, publishID string, text []byte) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	a := &attempt{opts: p.opts, id: publishID, text: text, digest: digest(text)}
	result, err := a.run(ctx)
	p.record(publishID, result, err)
	return result, err
}

func (p *Publisher) record(publishID string, r Result, err error) {
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
// error has the kind NotFound for a version that is not in the log row.
func (p *Publisher) Version(ctx context.Context, version int64) (Publication, []byte, error) {
	log, _, err := readLog(ctx, p.opts.Table)
	if err != nil {
		return Publication{}, nil, errkind.New(errkind.StoreUnavailable, "%w", err)
	}
	entry, ok := inLog(log, version)
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

// attempt is one publication.
type attempt struct {
	opts   PublisherOptions
	id     string
	text   []byte
	digest string
	note   Note
	// sent is set when a write of the head row, of this call or of an earlier
	// one, may take effect although its answer was lost.
	sent bool
}

// state is what the rows say.
type state struct {
	head        Config
	headVersion int64
	log         []Publication
	logVersion  int64
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	if !ValidPublishID(a.id) {
		return Result{}, errkind.New(errkind.BadRequest, "publish id %q: want 8 to 64 letters, digits and hyphens", a.id)
	}
	n, err := Parse("note", a.text)
	if err != nil {
		return Result{}, err
	}
	a.note = n
	a.sent = a.startedBefore(ctx)
	s, err := a.read(ctx)
	if err != nil {
		return Result{}, a.storeFailed(err)
	}
	if result, done, err := a.settled(s); done {
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

// startedBefore reports whether an earlier call with the publish id may have
// sent its write of the head row. Each call stores the note's text before that,
// so a missing text excludes it.
func (a *attempt) startedBefore(ctx context.Context) bool {
	_, err := a.opts.Objects.Get(ctx, objectName(a.id))
	return !errors.Is(err, object.ErrNotFound)
}

// read reads the head row before the log row, so the log holds at least the
// version of the head.
func (a *attempt) read(ctx context.Context) (state, error) {
	var s state
	var err error
	if s.head, s.headVersion, err = ReadHead(ctx, a.opts.Table); err != nil {
		return state{}, err
	}
	s.log, s.logVersion, err = readLog(ctx, a.opts.Table)
	return s, err
}

// settled reports whether the version after the note's base is taken, and by
// whom.
func (a *attempt) settled(s state) (r Result, done bool, err error) {
	winner, ok := inLog(s.log, a.note.Base+1)
	switch {
	case ok && winner.PublishID == a.id && winner.Digest != a.digest:
		return Result{}, true, errkind.New(errkind.Conflict, "publish id %s was used for another note, version %d", a.id, winner.Version)
	case ok && winner.PublishID == a.id:
		return a.result(s, winner.Version), true, nil
	case ok:
		return Result{}, true, conflict(a.note.Base, winner)
	case s.head.Version > a.note.Base:
		return Result{}, true, errkind.New(errkind.OutcomeUnknown, "version %d is older than the latest %d versions, so it is not known whether publish id %s made it; version %d is in force", a.note.Base+1, LogLength, a.id, s.head.Version)
	}
	return Result{}, false, nil
}

func (a *attempt) result(s state, version int64) Result {
	r := Result{Version: version, PublishID: a.id}
	if s.head.Version == version {
		r.Config = s.head
	}
	return r
}

// putText writes the note's text before the head row names it. Repeating the
// write is safe.
func (a *attempt) putText(ctx context.Context) error {
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		err := a.opts.Objects.Put(ctx, objectName(a.id), a.text)
		if err == nil {
			return nil
		}
		if errors.Is(err, object.ErrExists) {
			return errkind.New(errkind.Conflict, "publish id %s was used for another note: %w", a.id, err)
		}
		if !errors.Is(err, object.ErrUnavailable) || !sleep(ctx, pause) {
			return a.storeFailed(fmt.Errorf("writing the text of the note: %w", err))
		}
	}
}

// commit writes the head row. All its writes are conditional on the same row
// versions, so at most one of them takes effect.
func (a *attempt) commit(ctx context.Context, s state, next Config) (Result, error) {
	txn, err := a.transaction(s, next)
	if err != nil {
		return Result{}, err
	}
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		_, err := a.opts.Table.Commit(ctx, txn)
		switch {
		case err == nil:
			return Result{Version: next.Version, PublishID: a.id, Config: next}, nil
		case errors.Is(err, table.ErrInvalid):
			return a.refused(err)
		case errors.Is(err, table.ErrUnavailable) && !a.sent:
			return Result{}, a.storeFailed(fmt.Errorf("writing %s: %w", HeadKey, err))
		case !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnavailable):
			a.sent = true
		}
		result, done, err := a.settle(ctx, err)
		if done {
			return result, err
		}
		if !sleep(ctx, pause) {
			return Result{}, a.storeFailed(err)
		}
	}
}

func (a *attempt) transaction(s state, next Config) (table.Txn, error) {
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

// refused handles a transaction that the service does not take. An earlier
// write whose answer was lost may still take effect.
func (a *attempt) refused(cause error) (Result, error) {
	if a.sent {
		return Result{}, a.unknown(cause)
	}
	return Result{}, errkind.New(errkind.NoteInvalid, "the table service refuses the configuration: %w", cause)
}

// settle reads the rows after a write that failed or whose answer was lost.
// When it is not done, cause says why and the write may be repeated.
func (a *attempt) settle(ctx context.Context, cause error) (r Result, done bool, err error) {
	s, err := a.read(ctx)
	if err != nil {
		if a.sent {
			return Result{}, false, err
		}
		return Result{}, true, a.storeFailed(fmt.Errorf("%w; reading the winner: %w", cause, err))
	}
	if r, done, err := a.settled(s); done {
		return r, true, err
	}
	return Result{}, false, cause
}

// storeFailed is the answer when a store fails and no row names a winner.
func (a *attempt) storeFailed(cause error) error {
	if a.sent {
		return a.unknown(cause)
	}
	return errkind.New(errkind.StoreUnavailable, "%w", cause)
}

func (a *attempt) unknown(cause error) error {
	return errkind.New(errkind.OutcomeUnknown, "a write of version %d with publish id %s may have taken effect or may still do so; repeat the publication with this publish id: %w", a.note.Base+1, a.id, cause)
}

// sleep pauses and reports whether the context is still live.
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

// Preview returns what the note would change, without publishing it. Errors
// are those of Parse and Check.
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
