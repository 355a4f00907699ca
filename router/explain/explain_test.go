package explain

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/errkind"
)

// Guards against a command and a router that disagree on the parameters of the call.
func TestQuestionSurvivesTheQuery(t *testing.T) {
	want := Question{Method: "POST", Host: "shop:80", Path: "/a/b?x=1&y=%20", Key: "65535", Service: "s", DeadlineMs: 250}
	got, err := Decode(want.Encode())
	if err != nil || got != want {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
}

// Guards against a misspelt parameter that is ignored, and against questions that no caller
// can ask: their explanation would describe another request.
func TestInvalidQuestions(t *testing.T) {
	valid := "method=GET&host=h&path=/a"
	for _, query := range []string{
		"", "host=h&path=/a", "method=GET&path=/a", "method=GET&host=h", valid + "&kye=1", valid + "&path=/b",
		"method=G+T&host=h&path=/a", "method=GET&host=a/b&path=/a", "method=GET&host=h&path=a", "method=GET&host=h&path=%2Fa%0A",
		valid + "&deadline_ms=0", valid + "&deadline_ms=-5", valid + "&deadline_ms=x", valid + "&deadline_ms=99999999999",
		"method=GET&host=h&path=/" + strings.Repeat("a", maxPathBytes), "method=GET&host=" + strings.Repeat("h", 256) + "&path=/a", "%zz",
	} {
		if _, err := Decode(query); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%.80s: %v, want bad_request", query, err)
		}
	}
	if _, err := Decode(valid); err != nil {
		t.Error(err)
	}
}

// Guards against a request that is called served although one of the services of its route
// would refuse it.
func TestConclude(t *testing.T) {
	served := Service{Outcome: Outcome{Served: true, Host: "h1"}}
	refused := Service{Outcome: Outcome{Kind: errkind.NoOwner, Status: 503}}
	for _, c := range []struct {
		services []Service
		want     Outcome
	}{
		{[]Service{served}, served.Outcome},
		{[]Service{served, refused}, refused.Outcome},
		{[]Service{refused, served}, refused.Outcome},
		{nil, Outcome{}},
	} {
		if got := Conclude(c.services); got != c.want {
			t.Errorf("%+v, want %+v", got, c.want)
		}
	}
}

// Guards against a response of a megabyte in a large fleet.
func TestLimitHosts(t *testing.T) {
	services := []Service{{Hosts: make([]Host, 200)}, {Hosts: make([]Host, 200)}, {Hosts: make([]Host, 5)}}
	listed := 0
	for i := range services {
		listed = services[i].LimitHosts(MaxHosts, listed)
	}
	if listed != MaxHosts || services[1].OmittedHosts != 144 || len(services[2].Hosts) != 0 || services[2].OmittedHosts != 5 {
		t.Errorf("%d listed, %d and %d omitted", listed, services[1].OmittedHosts, services[2].OmittedHosts)
	}
}

// Guards against a list that repeats the holder of a key, and against a wait of less than a
// millisecond that is shown as none.
func TestJoinAttemptsAndMillis(t *testing.T) {
	refusal := Attempt{Host: "h1", Gate: Gate{Decision: DecisionRefused, Kind: errkind.Draining}}
	list := JoinAttempts(JoinAttempts(nil, refusal), refusal)
	if list = JoinAttempts(list, Attempt{Host: "h2"}); len(list) != 2 {
		t.Errorf("%d attempts, want 2", len(list))
	}
	if Millis(time.Microsecond) != 1 || Millis(-1) != 0 || Millis(2*time.Millisecond) != 2 {
		t.Error("durations are not rounded up")
	}
}

// Guards against a panic for any query.
func FuzzDecode(f *testing.F) {
	f.Add("method=GET&host=h&path=/a&key=7&service=s&deadline_ms=3")
	f.Fuzz(func(t *testing.T, query string) {
		q, err := Decode(query)
		if err != nil {
			return
		}
		if _, err := url.ParseRequestURI(q.Path); err != nil {
			t.Errorf("accepted path %q: %v", q.Path, err)
		}
		if again, err := Decode(q.Encode()); err != nil || again != q {
			t.Errorf("%+v becomes %+v, %v", q, again, err)
		}
	})
}
