package routing_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestRouting(t *testing.T) { testkit.Run(t, "routing") }
