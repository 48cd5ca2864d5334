// Command write prints the generated page of the daemon's settings.
package main

import (
	"fmt"

	"github.com/mangoknot/mangoknot/internal/settingsdoc"
)

func main() { fmt.Print(settingsdoc.Page()) }
