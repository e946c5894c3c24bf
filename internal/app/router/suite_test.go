package router_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestRouter(t *testing.T) { testkit.Run(t, "router application") }
