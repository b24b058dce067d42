package ci

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a list of packages in deploy/system.toml that is too short or too long.
//
// Too short: the test builds a clean checkout without a build cache. PATH has only the Go tool chain and the programs of the
// allowed packages: the listed ones, their dependencies and Debian's essential packages. The compiler and the linker find
// headers and libraries without PATH. So they list the files that they read; each file must belong to an allowed package.
//
// Too long: for each listed package, the build must use a file that belongs to no package that is still allowed without it.
func TestDeployBuildNeedsOnlyThePackagesListed(t *testing.T) {
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("not checked: dpkg-query is missing, so this system has no Debian packages")
	}
	installed := installedPackages(t)
	line, listed := systemBuild(t)
	for _, name := range listed {
		require.Contains(t, installed, name, "packages of deploy/system.toml must be installed for this test")
	}

	allowed := closure(installed, listed)
	used := append(build(t, line, programs(t, allowed)), rootCertificate(t))
	files := filesOf(t, allowed)
	for _, file := range used {
		assert.True(t, files[file], "the build uses %s, which belongs to no package that deploy/system.toml allows", file)
	}
	for i, name := range listed {
		others := append(append([]string{}, listed[:i]...), listed[i+1:]...)
		remaining := filesOf(t, closure(installed, others))
		unneeded := true
		for _, file := range used {
			unneeded = unneeded && remaining[file]
		}
		assert.False(t, unneeded, "deploy/system.toml lists %s, but the build uses no file that only this package provides", name)
	}
}

// systemBuild returns the build command and the list of packages in deploy/system.toml.
func systemBuild(t *testing.T) (command string, packages []string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	require.NoError(t, err)
	found := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	require.NotNil(t, found, "deploy/system.toml has a build line")
	command = string(found[1])
	found = regexp.MustCompile(`(?m)^packages = \[(.*)\]$`).FindSubmatch(text)
	require.NotNil(t, found, "deploy/system.toml lists its packages")
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(found[1], -1) {
		packages = append(packages, string(name[1]))
	}
	return command, packages
}

// debianPackage is an installed package in dpkg's database.
type debianPackage struct {
	name      string   // with the architecture where dpkg-query requires it
	needs     []string // names of the packages that it depends on, with all alternatives
	essential bool
}

// installedPackages returns the installed packages by their own names and by the names that they provide.
func installedPackages(t *testing.T) map[string][]*debianPackage {
	t.Helper()
	const format = `${db:Status-Status}\t${binary:Package}\t${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n`
	out, err := exec.CommandContext(t.Context(), "dpkg-query", "-W", "-f", format).Output()
	require.NoError(t, err)
	packages := map[string][]*debianPackage{}
	for _, line := range strings.Split(strings.TrimRight(string(out), "\n"), "\n") {
		fields := strings.Split(line, "\t")
		if fields[0] != "installed" {
			continue
		}
		added := &debianPackage{name: fields[1], essential: fields[3] == "yes", needs: packageNames(fields[4])}
		for _, name := range append(packageNames(fields[5]), fields[2]) {
			packages[name] = append(packages[name], added)
		}
	}
	return packages
}

// packageNames returns the names in a dependency list of dpkg, such as "libc6 (>= 2.34), gcc:any | tcc", with all
// alternatives.
func packageNames(list string) []string {
	var names []string
	for _, entry := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == '|' }) {
		name, _, _ := strings.Cut(strings.TrimSpace(entry), " ")
		name, _, _ = strings.Cut(name, ":")
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// closure returns the names of the named packages, the essential packages and all their direct and indirect dependencies.
func closure(installed map[string][]*debianPackage, names []string) map[string]bool {
	found := map[string]bool{}
	var add func(name string)
	add = func(name string) {
		for _, p := range installed[name] {
			if !found[p.name] {
				found[p.name] = true
				for _, needed := range p.needs {
					add(needed)
				}
			}
		}
	}
	for _, name := range names {
		add(name)
	}
	for name, packages := range installed {
		for _, p := range packages {
			if p.essential {
				add(name)
			}
		}
	}
	return found
}

// pathsOf returns the paths of all files of packages, as dpkg lists them.
func pathsOf(t *testing.T, packages map[string]bool) []string {
	t.Helper()
	arguments := []string{"-L"}
	for name := range packages {
		arguments = append(arguments, name)
	}
	out, err := exec.CommandContext(t.Context(), "dpkg-query", arguments...).Output()
	require.NoError(t, err)
	return strings.Split(string(out), "\n")
}

// filesOf returns the paths of all files of packages after resolving symbolic links.
func filesOf(t *testing.T, packages map[string]bool) map[string]bool {
	t.Helper()
	files := map[string]bool{}
	for _, path := range pathsOf(t, packages) {
		if real, err := filepath.EvalSymlinks(path); err == nil {
			files[real] = true
		}
	}
	return files
}

// programs returns a new folder with symbolic links to the executables of packages, named as in the packages.
func programs(t *testing.T, packages map[string]bool) (folder string) {
	t.Helper()
	folder = t.TempDir()
	for _, path := range pathsOf(t, packages) {
		if base := filepath.Base(filepath.Dir(path)); base != "bin" && base != "sbin" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil || !info.Mode().IsRegular() || info.Mode()&0o111 == 0 {
			continue
		}
		if err := os.Symlink(path, filepath.Join(folder, filepath.Base(path))); err != nil {
			require.ErrorIs(t, err, fs.ErrExist)
		}
	}
	return folder
}

// build runs a build command in a clean copy of the repository, with folder as PATH for programs of the system. It returns
// the system's files that the compiler and linker read, and the programs that the compiler called.
func build(t *testing.T, command, folder string) (used []string) {
	t.Helper()
	tree, scratch := t.TempDir(), t.TempDir()
	copyRepository(t, tree)
	// In a folder with .git the Go tool chain looks for the program git. It must work without that program.
	require.NoError(t, os.Mkdir(filepath.Join(tree, ".git"), 0o755))
	headers, inputs := filepath.Join(scratch, "headers"), filepath.Join(scratch, "inputs")

	shell := exec.CommandContext(t.Context(), filepath.Join(folder, "sh"), "-c", command)
	shell.Dir = tree
	shell.Env = []string{
		"PATH=" + folder + ":" + filepath.Join(goEnv(t, "GOROOT"), "bin"),
		"HOME=" + scratch, "GOENV=off", "GOTOOLCHAIN=local",
		"GOCACHE=" + filepath.Join(scratch, "cache"), "GOMODCACHE=" + goEnv(t, "GOMODCACHE"), "GOPROXY=" + goEnv(t, "GOPROXY"),
		"SUNPRO_DEPENDENCIES=" + headers, "CGO_LDFLAGS=-Wl,--dependency-file=" + inputs,
	}
	out, err := shell.CombinedOutput()
	require.NoError(t, err, "%s: %s", command, out)
	require.FileExists(t, filepath.Join(tree, "target", "ospreypond"))

	paths := append(readDependencies(t, headers), readDependencies(t, inputs)...)
	for _, name := range []string{"cc1", "collect2", "as", "ld"} {
		shell := exec.CommandContext(t.Context(), filepath.Join(folder, "gcc"), "-print-prog-name="+name)
		shell.Env = []string{"PATH=" + folder}
		out, err := shell.Output()
		require.NoError(t, err)
		path := strings.TrimSpace(string(out))
		if !filepath.IsAbs(path) {
			path = filepath.Join(folder, path)
		}
		paths = append(paths, path)
	}
	known := map[string]bool{}
	for _, path := range paths {
		real, err := filepath.EvalSymlinks(strings.TrimSuffix(path, ":"))
		if err != nil || !filepath.IsAbs(real) || known[real] || isToolChainOrOutput(t, real, scratch) {
			continue
		}
		known[real] = true
		used = append(used, real)
	}
	require.Contains(t, strings.Join(used, "\n"), "stdlib.h", "the compiler has listed the headers")
	require.Contains(t, strings.Join(used, "\n"), "crt1.o", "the linker has listed its inputs")
	return used
}

// rootCertificate returns the file of a root certificate. With an empty module cache the build downloads modules over TLS
// and needs root certificates. The test doesn't empty the cache, so it counts such a file as used by the build.
func rootCertificate(t *testing.T) string {
	t.Helper()
	links, err := filepath.Glob("/etc/ssl/certs/*.pem")
	require.NoError(t, err)
	for _, link := range links {
		real, err := filepath.EvalSymlinks(link)
		if err == nil && strings.HasPrefix(real, "/usr/share/ca-certificates/") {
			return real
		}
	}
	require.Fail(t, "no root certificates of Debian are installed")
	return ""
}

// isToolChainOrOutput reports whether a file belongs to Go, or was made by the build in scratch or in the folder for
// temporary files.
func isToolChainOrOutput(t *testing.T, path, scratch string) bool {
	t.Helper()
	for _, folder := range []string{goEnv(t, "GOROOT"), scratch, os.TempDir()} {
		real, err := filepath.EvalSymlinks(folder)
		require.NoError(t, err)
		if strings.HasPrefix(path, real+string(filepath.Separator)) {
			return true
		}
	}
	return false
}

// readDependencies returns the words of a dependency file that the compiler or the linker wrote in the syntax of make.
func readDependencies(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return strings.Fields(strings.ReplaceAll(string(text), "\\\n", " "))
}

func goEnv(t *testing.T, name string) string {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), "go", "env", name).Output()
	require.NoError(t, err)
	return strings.TrimSpace(string(out))
}

// copyRepository copies the sources that the build needs, without the outputs of earlier builds and simulations.
func copyRepository(t *testing.T, to string) {
	t.Helper()
	root := filepath.Join("..", "..")
	for _, name := range []string{"go.mod", "go.sum", "cmd", "internal", "policy"} {
		from := filepath.Join(root, name)
		info, err := os.Stat(from)
		require.NoError(t, err)
		if info.IsDir() {
			require.NoError(t, os.CopyFS(filepath.Join(to, name), os.DirFS(from)))
			continue
		}
		text, err := os.ReadFile(from)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(to, name), text, 0o600))
	}
}
