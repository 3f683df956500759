// Command bramleydoor is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/bramleydoor/bramleydoor/cliapp"
)

func main() { os.Exit(cliapp.Main(os.Args, os.Stdout, os.Stderr)) }
