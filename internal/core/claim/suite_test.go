package claim_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestClaim(t *testing.T) { testkit.Run(t, "claims") }
