// Command cmd prints the figures of package slopes. Arguments select runs by a
// part of their name.
package main

import (
	"os"

	"heatherport/internal/measure"
	"heatherport/internal/measure/slopes"
)

func main() { measure.PrintRuns(os.Stdout, slopes.Runs(), os.Args[1:]) }
