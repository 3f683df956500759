// Command bramleyvm runs one VM of bramleydoor on the platform of its users. It reads its
// settings from the file that an environment variable names (platform.SettingsVariable).
package main

import (
	"os"

	"github.com/bramleydoor/bramleydoor/platform"
)

func main() { os.Exit(platform.Main(os.Stdout, os.Stderr)) }
