package callerhttp_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestCallerHTTP(t *testing.T) { testkit.Run(t, "callers") }
