package attempt_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestAttempt(t *testing.T) { testkit.Run(t, "attempts") }
