package cli_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestCLI(t *testing.T) { testkit.Run(t, "command line") }
