package cli

import (
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an option of a command that has the name of an option of all
// commands. The parser gives its value to the latter, so the command can never
// get it.
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
			must.False(t, taken[name], must.Sprintf("%s takes the name --%s again", subcommand.Name(), name))
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
