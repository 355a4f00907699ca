package quarantine

import (
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxReported bounds the suspects of a report, which travels with each response.
	maxReported = 8
	// minSingles is the number of places that are kept for suspects with one crash.
	minSingles = 2
	// reportInterval is the time after which a report is renewed because its ages have
	// changed.
	reportInterval = time.Second
	// singleReportTime is the time for which a suspect with one crash is reported.
	singleReportTime = time.Minute
	// maxHostName bounds the encoded name of a host. Longer ones are not reported.
	maxHostName = 128
	// newTrialAfter is the difference from which a reported start of a trial is another
	// trial: ages are whole seconds, and reports are up to reportInterval old.
	newTrialAfter = 3 * time.Second
	// noAge stands for the age of something that has not happened.
	noAge = -1
	// maxFailed bounds the failed trials that a report may name.
	maxFailed = 16
)

var errReport = errors.New("malformed report of suspects")

// reportState holds what reports are made from as of at; it is renewed if at is zero.
type reportState struct {
	at time.Time
	// first are reported before singles, the suspects with one crash, and these before
	// rest.
	first, singles, rest []*suspect
	// next is the place in singles from which the next report takes some.
	next int
	// text is the report if there are at most maxReported suspects.
	text string
}

// Report returns the text for other hosts, or "" if there is nothing to report. It has the
// suspect with the fingerprint first if that is not nil. Suspects with one crash take
// turns: the culprit may be any of those that were in progress at a crash.
//
// Suspects are separated by semicolons, their parts by commas: the fingerprint, the failed
// trials, the seconds since the last trial, and for each crash its identifier, its age in
// seconds, "c" if it is cleared, and its host.
func (s *Set) Report(now time.Time, of *Fingerprint) string {
	r := &s.report
	if r.at.IsZero() || now.Sub(r.at) >= reportInterval {
		s.renewReport(now)
	}
	if len(r.first)+len(r.singles)+len(r.rest) <= maxReported {
		return r.text
	}
	chosen := make([]*suspect, 0, maxReported)
	add := func(x *suspect) {
		if len(chosen) < maxReported && !slices.Contains(chosen, x) {
			chosen = append(chosen, x)
		}
	}
	if of != nil && s.suspects[*of] != nil {
		add(s.suspects[*of])
	}
	for _, x := range r.first[:min(len(r.first), maxReported-min(len(r.singles), minSingles))] {
		add(x)
	}
	taken := min(maxReported-len(chosen), len(r.singles))
	for i := range taken {
		add(r.singles[(r.next+i)%len(r.singles)])
	}
	r.next += taken
	for _, x := range r.rest {
		add(x)
	}
	return encode(r.at, chosen)
}

func (s *Set) renewReport(now time.Time) {
	if s.expire(now) {
		s.blame()
	}
	all := slices.SortedFunc(maps.Values(s.suspects), byWeight)
	r := reportState{at: now, next: s.report.next}
	for _, x := range all {
		switch {
		case len(x.crashes) > 1:
			r.first = append(r.first, x)
		case now.Sub(x.lastActivity()) > singleReportTime:
		case x.state == suspected:
			r.singles = append(r.singles, x)
		default:
			r.rest = append(r.rest, x)
		}
	}
	if reported := slices.Concat(r.first, r.singles, r.rest); len(reported) <= maxReported {
		r.text = encode(now, reported)
	}
	s.report = r
}

func encode(now time.Time, suspects []*suspect) string {
	var text strings.Builder
	for _, x := range suspects {
		if text.Len() > 0 {
			text.WriteByte(';')
		}
		x.encode(now, &text)
	}
	return text.String()
}

func (x *suspect) encode(now time.Time, text *strings.Builder) {
	trialAge := int64(noAge)
	if !x.trialAt.IsZero() {
		trialAge = max(int64(now.Sub(x.trialAt).Seconds()), 0)
	}
	fmt.Fprintf(text, "%x,%x,%d,%d", x.Head, x.Body, x.failed, trialAge)
	for _, c := range x.crashes {
		mark := ""
		if c.cleared {
			mark = "c"
		}
		host := url.QueryEscape(c.host)
		if len(host) > maxHostName {
			host = ""
		}
		fmt.Fprintf(text, ",%x:%d:%s:%s", uint64(c.id), max(int64(now.Sub(c.at).Seconds()), 0), mark, host)
	}
}

// Merge adds the report of another host.
func (s *Set) Merge(now time.Time, report string) error {
	if report == "" {
		return nil
	}
	parts := strings.SplitN(report, ";", maxReported+1)
	if len(parts) > maxReported {
		return errReport
	}
	var received []*suspect
	for _, text := range parts {
		x, err := decode(now, text)
		if err != nil {
			return err
		}
		received = append(received, x)
	}
	news := false
	for _, x := range received {
		news = s.mergeSuspect(now, x) || news
	}
	if news {
		s.refresh(now)
	}
	return nil
}

// mergeSuspect adds what another host knows of a suspect, and reports whether anything was
// new.
func (s *Set) mergeSuspect(now time.Time, from *suspect) bool {
	if now.Sub(from.lastActivity()) > maxAge {
		return false
	}
	x := s.get(now, from.Request)
	news, live := false, false
	for _, c := range from.crashes {
		live = live || !c.cleared
		i := slices.IndexFunc(x.crashes, func(own crash) bool { return own.id == c.id })
		switch {
		case i < 0 && len(x.crashes) == maxCrashes && c.at.Before(x.crashes[0].at):
		case i < 0:
			x.add(c)
			s.markUrgent(now, x)
			news = true
		case c.cleared && !x.crashes[i].cleared:
			x.crashes[i].cleared = true
			s.markUrgent(now, x)
			news = true
		}
	}
	if from.trialAt.Sub(x.trialAt) > newTrialAfter {
		x.trialAt, news = from.trialAt, true
	}
	if live && from.failed > x.failed {
		x.failed, news = from.failed, true
	}
	return news
}

func decode(now time.Time, text string) (*suspect, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 5 || len(parts) > 4+maxCrashes {
		return nil, errReport
	}
	head, err1 := strconv.ParseUint(parts[0], 16, 64)
	body, err2 := strconv.ParseUint(parts[1], 16, 64)
	failed, err3 := strconv.Atoi(parts[2])
	trialAge, err4 := strconv.ParseInt(parts[3], 10, 64)
	if errors.Join(err1, err2, err3, err4) != nil || failed < 0 || failed > maxFailed || trialAge < noAge || trialAge > int64(maxAge.Seconds()) {
		return nil, errReport
	}
	x := &suspect{Request: Request{Fingerprint: Fingerprint{Head: head, Body: body}}, failed: failed}
	if trialAge >= 0 {
		x.trialAt = now.Add(-time.Duration(trialAge) * time.Second)
	}
	for _, part := range parts[4:] {
		c, err := decodeCrash(now, part)
		if err != nil {
			return nil, err
		}
		if !x.has(c.id) {
			x.add(c)
		}
	}
	return x, nil
}

func decodeCrash(now time.Time, text string) (crash, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 || len(parts[3]) > maxHostName || (parts[2] != "" && parts[2] != "c") {
		return crash{}, errReport
	}
	id, err1 := strconv.ParseUint(parts[0], 16, 64)
	age, err2 := strconv.ParseInt(parts[1], 10, 32)
	host, err3 := url.QueryUnescape(parts[3])
	if errors.Join(err1, err2, err3) != nil || age < 0 {
		return crash{}, errReport
	}
	return crash{id: Incarnation(id), at: now.Add(-time.Duration(age) * time.Second), host: host, cleared: parts[2] == "c"}, nil
}
