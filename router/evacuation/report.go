package evacuation

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const (
	// separator stands before each zone of a report.
	separator = ";"
	// maxReportZones bounds the zones of a report, which travels with each response.
	maxReportZones = 64
	// maxZoneName bounds the encoded name of a zone.
	maxZoneName = 256
)

var errReport = errors.New("malformed report of evacuated zones")

// Encode returns the report as the value of a header field: the version up to which it is
// complete and the zones with their versions, separated by semicolons. If there are too
// many zones, the report has the latest and says that it is not complete.
func (r Report) Encode() string {
	names := slices.Sorted(maps.Keys(r.Zones))
	names = slices.DeleteFunc(names, func(name string) bool { return len(url.QueryEscape(name)) > maxZoneName })
	asOf := r.AsOf
	if len(names) > maxReportZones {
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(r.Zones[b], r.Zones[a]) })
		names = names[:maxReportZones]
	}
	if len(names) < len(r.Zones) {
		asOf = 0
	}
	var text strings.Builder
	text.WriteString(strconv.FormatInt(asOf, 10))
	for _, name := range names {
		fmt.Fprintf(&text, "%s%s=%d", separator, url.QueryEscape(name), r.Zones[name])
	}
	return text.String()
}

// Decode returns the report that Encode has encoded.
func Decode(text string) (Report, error) {
	first, rest, more := strings.Cut(text, separator)
	asOf, err := strconv.ParseInt(first, 10, 64)
	if err != nil || asOf < 0 {
		return Report{}, errReport
	}
	r := Report{AsOf: asOf, Zones: map[string]int64{}}
	for more {
		var entry string
		entry, rest, more = strings.Cut(rest, separator)
		escaped, digits, _ := strings.Cut(entry, "=")
		name, err := url.QueryUnescape(escaped)
		if err != nil || name == "" || len(url.QueryEscape(name)) > maxZoneName {
			return Report{}, errReport
		}
		version, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || version <= 0 || len(r.Zones) == maxReportZones {
			return Report{}, errReport
		}
		r.Zones[name] = version
	}
	return r, nil
}

// SameZones reports whether two encoded reports name the same zones with the same versions.
func SameZones(a, b string) bool {
	_, zonesOfA, _ := strings.Cut(a, separator)
	_, zonesOfB, _ := strings.Cut(b, separator)
	return zonesOfA == zonesOfB
}
