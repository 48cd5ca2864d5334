// Package settingsdoc generates the documentation page of the daemon's settings from
// the declarations in internal/settings.
package settingsdoc

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/mangoknot/mangoknot/internal/settings"
)

// head is the part of the page above the rows.
const head = `# Settings

This page is generated from internal/settings/settings.go. Run
` + "`go run ./internal/settingsdoc/write > docs/operate/settings.md`" + ` after a change there.

The daemon takes flags and environment variables; a flag wins. ` + "`mangoknotd --check-config`" + ` with the same settings
checks them and exits. Addresses are IP numbers with a port.

| flag | environment variable | default | meaning |
| --- | --- | --- | --- |
`

// Page returns the page in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString(head)
	rows(&b, reflect.TypeFor[settings.Settings]())
	return b.String()
}

// rows writes the rows of all settings of a type, with those of the types that it embeds.
func rows(b *strings.Builder, t reflect.Type) {
	for i := range t.NumField() {
		if field := t.Field(i); field.Anonymous {
			rows(b, field.Type)
		} else {
			b.WriteString(row(field.Tag))
		}
	}
}

// row returns the table row of a setting.
func row(tag reflect.StructTag) string {
	var flag, env string
	for part := range strings.SplitSeq(tag.Get("arg"), ",") {
		if name, ok := strings.CutPrefix(part, "env:"); ok {
			env = name
		} else {
			flag = part
		}
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", flag, code(env), code(tag.Get("default")), tag.Get("help"))
}

// code formats a value as code, and an empty value as an empty cell.
func code(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}
