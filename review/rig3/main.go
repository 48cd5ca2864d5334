// Command rig3 runs the scripts of the third review, each with the project's programs as separate
// processes on loopback addresses. It exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// trouble reports whether the disruption of the case takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases maps the names of the cases to their functions, which report whether the rule was broken. The file of
// each case adds its own.
var cases = map[string]func(*recorder) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec)
	status := 0
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		status = 2
	case broken:
		status = 1
	}
	rec.add("exit status %d", status)
	rec.close()
	os.Exit(status)
}
