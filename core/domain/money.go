package domain

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// microsPerUnit is the number of micros in one currency unit.
const microsPerUnit = 1_000_000

// ParseMicros parses an amount in currency units with up to six decimals, such as
// 12.5 or 0.000001. It returns an error for a negative, malformed or too large
// amount.
func ParseMicros(text string) (Micros, error) {
	whole, fraction, _ := strings.Cut(text, ".")
	if whole == "" || len(fraction) > 6 {
		return 0, fmt.Errorf("amount %q: write currency units with at most six decimals, such as 12.50", text)
	}
	units, err := strconv.ParseUint(whole, 10, 63)
	if err != nil || units > math.MaxInt64/microsPerUnit-1 {
		return 0, fmt.Errorf("amount %q: write a number of currency units below %d", text, int64(math.MaxInt64/microsPerUnit))
	}
	micros := uint64(0)
	if fraction != "" {
		micros, err = strconv.ParseUint((fraction + "000000")[:6], 10, 63)
		if err != nil {
			return 0, fmt.Errorf("amount %q: the decimals must be digits", text)
		}
	}
	return Micros(units*microsPerUnit + micros), nil
}
