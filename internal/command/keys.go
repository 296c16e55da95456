package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/keys"
)

const (
	day             = 24 * time.Hour
	defaultDays     = 365
	defaultWarnDays = 14
	// authorityFactor is how many times longer an authority lasts than the
	// certificates that it signs.
	authorityFactor = 3
	authorityName   = "authority"
	keyFileMode     = 0o600
	textFileMode    = 0o644
	folderMode      = 0o700
)

type keysOptions struct {
	folder string
	nodes  string
	check  string
	days   int
	warn   int
}

func keysCommand() *command {
	parser := flaggy.NewSubcommand("keys")
	parser.Description = "make an authority and node certificates, or check the validity of some"
	options := keysOptions{days: defaultDays, warn: defaultWarnDays}
	parser.String(&options.nodes, "n", "nodes", "the ids of the nodes to make certificates for, separated by commas")
	parser.String(&options.folder, "f", "folder", "write the PEM files here, and sign with the authority found here; printed when not given")
	parser.Int(&options.days, "d", "days", "how long a node's certificate is valid, in days (365)")
	parser.String(&options.check, "c", "check", "print the validity of these certificate files, separated by commas")
	parser.Int(&options.warn, "w", "warn-days", "with --check, exit code 1 when one ends within so many days (14)")
	return &command{
		parser:  parser,
		example: "pistachiopier keys --nodes vm-1,vm-2 --folder keys\n         pistachiopier keys --check keys/vm-1.crt,keys/authority.crt --warn-days 30",
		run:     func(out io.Writer) error { return runKeys(options, time.Now(), out) },
	}
}

func runKeys(options keysOptions, now time.Time, out io.Writer) error {
	switch {
	case options.check != "":
		return checkKeys(options, now, out)
	case options.nodes == "":
		return fault.NotRun(fault.CodeBadRequest, "neither --nodes nor --check is given", "see pistachiopier keys --help")
	case options.days <= 0:
		return fault.NotRun(fault.CodeBadRequest, "--days is not above 0", "write a number of days")
	}
	return makeKeys(options, now, out)
}

func checkKeys(options keysOptions, now time.Time, out io.Writer) error {
	trouble := false
	for _, path := range strings.Split(options.check, ",") {
		text, err := readFile(path)
		if err != nil {
			return err
		}
		name, err := keys.CommonName(text)
		if err != nil {
			return err
		}
		from, until, err := keys.Validity(text)
		if err != nil {
			return err
		}
		left := until.Sub(now)
		fmt.Fprintf(out, "%s: %s, valid from %s until %s, %d days left\n", path, name, from.UTC().Format(time.RFC3339), until.UTC().Format(time.RFC3339), int(left/day))
		if left < time.Duration(options.warn)*day {
			fmt.Fprintf(out, "  under %d days: make a new one with pistachiopier keys\n", options.warn)
			trouble = true
		}
	}
	if trouble {
		return errTrouble
	}
	return nil
}

func makeKeys(options keysOptions, now time.Time, out io.Writer) error {
	nodes := strings.Split(options.nodes, ",")
	for _, node := range nodes {
		if node == "" || node == authorityName || filepath.Base(node) != node {
			return fault.NotRun(fault.CodeBadRequest, fmt.Sprintf("%q is not a node's id", node), "write ids as in the VM list, separated by commas")
		}
	}
	validity := time.Duration(options.days) * day
	authority, err := takeAuthority(options.folder, now, validity*authorityFactor, out)
	if err != nil {
		return err
	}
	for _, node := range nodes {
		pair, err := authority.Issue(node, now, validity)
		if err != nil {
			return err
		}
		if err := put(options.folder, node, pair, out); err != nil {
			return err
		}
	}
	return nil
}

// takeAuthority reads the authority of the folder, or makes a new one.
func takeAuthority(folder string, now time.Time, validity time.Duration, out io.Writer) (*keys.Authority, error) {
	if folder != "" {
		certificate, certificateErr := os.ReadFile(filepath.Join(folder, authorityName+".crt"))
		key, keyErr := os.ReadFile(filepath.Join(folder, authorityName+".key"))
		if certificateErr == nil && keyErr == nil {
			return keys.LoadAuthority(keys.Pair{Certificate: certificate, Key: key})
		}
		if certificateErr == nil || keyErr == nil {
			return nil, &fault.Error{Code: fault.CodeTLS, Message: "the folder holds only one half of the authority", Fix: "put both authority.crt and authority.key there, or neither"}
		}
	}
	authority, err := keys.NewAuthority(now, validity)
	if err != nil {
		return nil, err
	}
	return authority, put(folder, authorityName, authority.Pair, out)
}

// put writes a pair to the folder, or prints it. An existing private key is
// never overwritten.
func put(folder, name string, pair keys.Pair, out io.Writer) error {
	if folder == "" {
		_, err := fmt.Fprintf(out, "# %s\n%s%s", name, pair.Certificate, pair.Key)
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return writeFault(folder, err)
	}
	keyPath := filepath.Join(folder, name+".key")
	file, err := os.OpenFile(keyPath, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return writeFault(keyPath, err)
	}
	_, err = file.Write(pair.Key)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return writeFault(keyPath, err)
	}
	certificatePath := filepath.Join(folder, name+".crt")
	if err := os.WriteFile(certificatePath, pair.Certificate, textFileMode); err != nil {
		return writeFault(certificatePath, err)
	}
	fmt.Fprintf(out, "wrote %s and %s\n", certificatePath, keyPath)
	return nil
}

func writeFault(path string, cause error) error {
	return &fault.Error{Code: fault.CodeTLS, Message: "cannot write " + path, Fix: "choose another folder, or remove the old file", Cause: cause}
}
