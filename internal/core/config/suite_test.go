package config_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestConfig(t *testing.T) { testkit.Run(t, "configuration") }
