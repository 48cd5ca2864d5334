package domain

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against amounts that change when they are printed and parsed again, and
// against malformed amounts that are accepted.
func TestParseMicros(t *testing.T) {
	for text, want := range map[string]Micros{"0": 0, "12": 12_000_000, "12.5": 12_500_000, "0.000001": 1} {
		got, err := ParseMicros(text)
		must.NoError(t, err)
		must.Eq(t, want, got)
		again, err := ParseMicros(got.String())
		must.NoError(t, err)
		must.Eq(t, want, again)
	}
	for _, text := range []string{"", ".5", "-1", "1.0000001", "1.x", "99999999999999999999", "1e3"} {
		_, err := ParseMicros(text)
		must.Error(t, err)
	}
}

// Guards against a home that depends on more than the program's name and the
// configured lists. Two sides of a partition would then both create the program.
func TestHomeDataCentre(t *testing.T) {
	homes := []DataCentre{"a", "b", "c"}
	known := []DataCentre{"a", "b", "c", "d"}
	home := func(name ProgramName) DataCentre {
		dc, err := HomeDataCentre(ProgramID{Account: "x", Name: name}, homes, known)
		must.NoError(t, err)
		return dc
	}
	must.Eq(t, "d", home("job@d"))
	must.Eq(t, home("job"), home("job"))
	counts := map[DataCentre]int{}
	for i := range 3_000 {
		counts[home(ProgramName("job-"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676))))]++
	}
	for _, dc := range homes {
		must.Between(t, 800, counts[dc], 1_200)
	}
	_, err := HomeDataCentre(ProgramID{}, nil, known)
	must.ErrorIs(t, err, ErrNoDataCentre)
}
