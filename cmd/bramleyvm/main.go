// Command bramleyvm runs a VM of bramleydoor on the users' platform.
package main

import (
	"os"

	"github.com/bramleydoor/bramleydoor/platform"
)

func main() { os.Exit(platform.Main(os.Stdout, os.Stderr)) }
