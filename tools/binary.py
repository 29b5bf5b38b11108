"""Builds the single-file binary: a launcher and the program that it unpacks.

Usage: ``python tools/binary.py OUTPUT``.  Needs PyInstaller, which
``make binary`` installs, and a C compiler.
"""

import hashlib
import os
import pathlib
import shutil
import stat
import struct
import subprocess
import sys
from typing import Iterator

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / 'build' / 'binary'
PROGRAM = 'magnoliadyke'
MAGIC = b'MGDYKE01'
DIGEST_LENGTH = 32

#: Packages with modules that are imported by name at run time, which
#: PyInstaller does not detect.
HIDDEN_PACKAGES = (PROGRAM, 'falcon', 'thrift', 'opentelemetry')
#: Packages that look up their entry points or versions at run time.
METADATA = (
    'falcon',
    'gevent',
    'opentelemetry-api',
    'opentelemetry-exporter-otlp-proto-http',
    'opentelemetry-exporter-prometheus',
    'opentelemetry-sdk',
)
#: Packages that hosts do not need; plots are drawn with an installed package.
EXCLUDED = ('matplotlib', 'numpy', 'PIL', 'tkinter', 'pytest', 'hypothesis')


def build_folder() -> pathlib.Path:
    """Build the program with PyInstaller.

    :returns: folder with the program and its libraries.
    """
    command = [sys.executable, '-m', 'PyInstaller', '--noconfirm', '--onedir']
    command += ['--clean', '--log-level=WARN', '--strip', f'--name={PROGRAM}']
    command += [f'--distpath={WORK}', f'--workpath={WORK / "work"}']
    command += [f'--specpath={WORK}', f'--paths={ROOT}']
    command += [f'--collect-submodules={name}' for name in HIDDEN_PACKAGES]
    command += [f'--collect-data={PROGRAM}']
    command += [f'--add-data={ROOT / "examples"}:examples']
    command += [f'--copy-metadata={name}' for name in METADATA]
    command += [f'--exclude-module={name}' for name in EXCLUDED]
    command.append(str(ROOT / PROGRAM / '__main__.py'))
    subprocess.run(command, check=True, cwd=ROOT)
    return WORK / PROGRAM


def compile_launcher() -> pathlib.Path:
    """Compile the launcher.

    :returns: path of the launcher, which has no payload yet.
    """
    compiler = shutil.which(os.environ.get('CC', 'cc'))
    if compiler is None:
        raise SystemExit(
            "no C compiler found; install one (such as Debian's gcc and "
            'libc6-dev) or name it in CC'
        )
    launcher = WORK / 'launcher'
    source = ROOT / 'tools' / 'launcher.c'
    subprocess.run(
        [compiler, '-O2', '-Wall', '-Wextra', '-Werror', '-s']
        + ['-o', str(launcher), str(source)],
        check=True,
    )
    return launcher


def pack(folder: pathlib.Path) -> Iterator[bytes]:
    """Yield the entries of the payload, in the format of ``launcher.c``.

    :param folder: folder with the files to pack.
    """
    for path in sorted(folder.rglob('*')):
        mode = path.lstat().st_mode
        if stat.S_ISDIR(mode):
            continue
        if stat.S_ISLNK(mode):
            content = os.readlink(path).encode()
        else:
            content = path.read_bytes()
        name = str(path.relative_to(folder)).encode()
        yield struct.pack('<IIQ', len(name), mode, len(content))
        yield name
        yield content


def write_binary(
    launcher: pathlib.Path, folder: pathlib.Path, output: pathlib.Path
) -> None:
    """Write the launcher, followed by the payload and its trailer.

    :param launcher: path of the compiled launcher.
    :param folder: folder with the files to pack.
    :param output: path of the binary to write.
    """
    head = launcher.read_bytes()
    payload = b''.join(pack(folder))
    digest = hashlib.sha256(payload).hexdigest()[:DIGEST_LENGTH]
    trailer = struct.pack('<Q', len(head)) + digest.encode() + MAGIC
    output.parent.mkdir(parents=True, exist_ok=True)
    # The binary may be running, and a running file can't be overwritten: write
    # a new file and rename it.
    fresh = output.with_suffix('.new')
    fresh.write_bytes(head + payload + trailer)
    fresh.chmod(0o755)
    fresh.replace(output)


def main(argv: list[str]) -> int:
    """Build the binary.

    :param argv: path of the binary to write.
    :returns: the exit status.
    """
    if len(argv) != 1:
        print('usage: binary.py OUTPUT', file=sys.stderr)
        return 2
    output = pathlib.Path(argv[0])
    WORK.mkdir(parents=True, exist_ok=True)
    write_binary(compile_launcher(), build_folder(), output)
    print(f'{output}: {output.stat().st_size / 1e6:.1f} MB')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
