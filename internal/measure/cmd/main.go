// Command cmd prints the figures of package measure. Its arguments select runs by
// a part of their name.
package main

import (
	"os"

	"heatherport/internal/measure"
)

func main() { measure.Print(os.Stdout, os.Args[1:]) }
