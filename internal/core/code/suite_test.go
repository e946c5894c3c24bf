package code_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestCode(t *testing.T) { testkit.Run(t, "result codes") }
