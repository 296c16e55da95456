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
	// authorityFactor is the validity of an authority as a multiple of that of the
	// certificates that it signs.
	authorityFactor     = 3
	authorityName       = "authority"
	keyFileMode         = 0o600
	certificateFileMode = 0o644
	folderMode          = 0o700
)

type keysOptions struct {
	folder   string
	nodes    string
	check    string
	days     int
	warnDays int
}

func keysCommand() *command {
	parser := flaggy.NewSubcommand("keys")
	parser.Description = "create an authority and node certificates, or check the validity of certificates"
	options := keysOptions{days: defaultDays, warnDays: defaultWarnDays}
	parser.String(&options.nodes, "n", "nodes", "the ids of the nodes to issue certificates for, separated by commas")
	parser.String(&options.folder, "f", "folder", "the folder to write the PEM files to; an authority in it signs them (default: create an authority and print the files)")
	parser.Int(&options.days, "d", "days", "the validity of a node certificate, in days (365)")
	parser.String(&options.check, "c", "check", "print the validity of these certificate files, separated by commas")
	parser.Int(&options.warnDays, "w", "warn-days", "with --check, exit code 1 if a certificate expires within this number of days (14)")
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
		return fault.NotRun(fault.CodeBadRequest, "--days must be positive", "give a number of days")
	}
	return makeKeys(options, now, out)
}

func checkKeys(options keysOptions, now time.Time, out io.Writer) error {
	expiring := false
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
		remaining := until.Sub(now)
		fmt.Fprintf(out, "%s: %s, valid from %s until %s, %d days left\n", path, name, from.UTC().Format(time.RFC3339), until.UTC().Format(time.RFC3339), int(remaining/day))
		if remaining < time.Duration(options.warnDays)*day {
			fmt.Fprintf(out, "  under %d days: issue a new one with pistachiopier keys\n", options.warnDays)
			expiring = true
		}
	}
	if expiring {
		return errReported
	}
	return nil
}

func makeKeys(options keysOptions, now time.Time, out io.Writer) error {
	nodes := strings.Split(options.nodes, ",")
	for _, node := range nodes {
		if node == "" || node == authorityName || filepath.Base(node) != node {
			return fault.NotRun(fault.CodeBadRequest, fmt.Sprintf("%q is not a valid node id", node), "give ids as in the VM list, separated by commas")
		}
	}
	validity := time.Duration(options.days) * day
	authority, err := loadOrCreateAuthority(options.folder, now, validity*authorityFactor, out)
	if err != nil {
		return err
	}
	for _, node := range nodes {
		pair, err := authority.Issue(node, now, validity)
		if err != nil {
			return err
		}
		if err := writePair(options.folder, node, pair, out); err != nil {
			return err
		}
	}
	return nil
}

// loadOrCreateAuthority loads the authority from the folder, or creates and writes a new one.
func loadOrCreateAuthority(folder string, now time.Time, validity time.Duration, out io.Writer) (*keys.Authority, error) {
	if folder != "" {
		certificate, certificateErr := os.ReadFile(filepath.Join(folder, authorityName+".crt"))
		key, keyErr := os.ReadFile(filepath.Join(folder, authorityName+".key"))
		if certificateErr == nil && keyErr == nil {
			return keys.LoadAuthority(keys.Pair{Certificate: certificate, Key: key})
		}
		if certificateErr == nil || keyErr == nil {
			return nil, &fault.Error{Code: fault.CodeTLS, Message: "the folder holds only one of authority.crt and authority.key", Fix: "provide both files, or neither"}
		}
	}
	authority, err := keys.NewAuthority(now, validity)
	if err != nil {
		return nil, err
	}
	return authority, writePair(folder, authorityName, authority.Pair, out)
}

// writePair writes a pair to the folder, or prints it if folder is empty. It never
// overwrites an existing private key.
func writePair(folder, name string, pair keys.Pair, out io.Writer) error {
	if folder == "" {
		_, err := fmt.Fprintf(out, "# %s\n%s%s", name, pair.Certificate, pair.Key)
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return keyWriteError(folder, err)
	}
	keyPath := filepath.Join(folder, name+".key")
	file, err := os.OpenFile(keyPath, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return keyWriteError(keyPath, err)
	}
	_, err = file.Write(pair.Key)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return keyWriteError(keyPath, err)
	}
	certificatePath := filepath.Join(folder, name+".crt")
	if err := os.WriteFile(certificatePath, pair.Certificate, certificateFileMode); err != nil {
		return keyWriteError(certificatePath, err)
	}
	fmt.Fprintf(out, "wrote %s and %s\n", certificatePath, keyPath)
	return nil
}

func keyWriteError(path string, cause error) error {
	return &fault.Error{Code: fault.CodeTLS, Message: "cannot write " + path, Fix: "choose another folder, or remove the existing file", Cause: cause}
}
