package cli

import (
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a command option with the same name as an option of a command
// above it. The parser assigns the value to the upper one, so the command cannot
// receive it.
func TestOptionNamesAreUnique(t *testing.T) {
	global := optionNames(reflect.TypeFor[Arguments]())
	must.MapContainsKey(t, global, "address")
	checkOptionNames(t, reflect.TypeFor[Arguments](), global)
}

func checkOptionNames(t *testing.T, command reflect.Type, taken map[string]bool) {
	for i := range command.NumField() {
		field := command.Field(i)
		if !strings.Contains(field.Tag.Get("arg"), "subcommand:") {
			continue
		}
		subcommand := field.Type.Elem()
		names := optionNames(subcommand)
		for name := range names {
			must.False(t, taken[name], must.Sprintf("%s redefines the option --%s of a command above it", subcommand.Name(), name))
		}
		for name := range taken {
			names[name] = true
		}
		checkOptionNames(t, subcommand, names)
	}
}

func optionNames(command reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range command.NumField() {
		for _, part := range strings.Split(command.Field(i).Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "--"); ok {
				names[name] = true
			}
		}
	}
	return names
}
