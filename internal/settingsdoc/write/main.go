// Command write prints the page of the daemon's settings.
package main

import (
	"fmt"

	"github.com/mangoknot/mangoknot/internal/settingsdoc"
)

func main() { fmt.Print(settingsdoc.Page()) }
