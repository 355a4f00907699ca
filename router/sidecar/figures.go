package sidecar

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

const (
	msPerSecond = 1000
	// maxFigure bounds whole numbers in settings; as milliseconds it is eleven days.
	maxFigure = 1_000_000_000
)

// figure is a setting that is a number and that a template may fill in with any form of it:
// a whole number, a fraction, or true or false where the deployment states no number.
type figure struct {
	section, key string
	// whole is true for a whole number. A fraction is rounded down, but not to 0.
	whole bool
	// secondsKey is another key for the same figure in seconds, if key is in milliseconds;
	// empty if there is none.
	secondsKey string
	// optional is true if true and false stand for the default.
	optional bool
}

// figures are the settings that templates fill in with numbers.
var figures = []figure{
	{section: "host", key: "link_mbps"},
	{section: "host", key: "memory_mb"},
	{section: "host", key: "max_fds", whole: true},
	{section: "upstream", key: "heartbeat_ms", whole: true},
	{section: "terms", key: "drain_ms", whole: true, optional: true},
	{section: "terms", key: "config_ms", whole: true, optional: true},
	{section: "terms", key: "grace_ms", whole: true, secondsKey: "grace_s", optional: true},
	{section: "terms", key: "hold_max_ms", whole: true, optional: true},
	{section: "terms", key: "evacuation_ms", whole: true, optional: true},
	{section: "terms", key: "retry_ratio", optional: true},
	{section: "terms", key: "retry_slack", optional: true},
	{section: "terms", key: "retry_window_ms", whole: true, secondsKey: "retry_window_s", optional: true},
	{section: "terms", key: "cold_overage", optional: true},
	{section: "terms", key: "cold_slack", optional: true},
}

// convertFigures replaces the figures of a file by numbers of the types of Settings, and
// removes those that state no number. It returns all errors, joined.
func convertFigures(file *ini.File) error {
	var errs []error
	for _, f := range figures {
		section := file.Section(f.section)
		if f.secondsKey != "" && section.HasKey(f.secondsKey) {
			if section.HasKey(f.key) {
				errs = append(errs, fmt.Errorf("%s.%s and %s.%s: want one of them", f.section, f.key, f.section, f.secondsKey))
				continue
			}
			errs = append(errs, f.convert(section, f.secondsKey, msPerSecond))
			section.DeleteKey(f.secondsKey)
			continue
		}
		if section.HasKey(f.key) {
			errs = append(errs, f.convert(section, f.key, 1))
		}
	}
	return errors.Join(errs...)
}

// convert sets f.key to the value of the key, times the factor.
func (f figure) convert(section *ini.Section, key string, factor float64) error {
	text := section.Key(key).Value()
	if f.optional && isBool(text) {
		section.DeleteKey(f.key)
		return nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("%s.%s = %q: want a number", f.section, key, text)
	}
	value *= factor
	if f.whole {
		value = wholeFigure(value)
	}
	section.Key(f.key).SetValue(strconv.FormatFloat(value, 'f', -1, 64))
	return nil
}

// wholeFigure rounds a number down, but a positive one not to 0.
func wholeFigure(value float64) float64 {
	if value > 0 && value < 1 {
		return 1
	}
	return min(math.Floor(value), maxFigure)
}

func isBool(text string) bool {
	return strings.EqualFold(text, "true") || strings.EqualFold(text, "false")
}
