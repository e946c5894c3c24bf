// Command hemlockctl is the command line interface for operators.
package main

import (
	"os"

	"github.com/hemlockdyke/hemlockdyke/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
