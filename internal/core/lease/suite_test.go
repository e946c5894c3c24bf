package lease_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestLease(t *testing.T) { testkit.Run(t, "leases") }
