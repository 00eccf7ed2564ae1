"""Durable file operations in one data folder: append, atomic replace and remove."""

import errno
import os
from pathlib import Path
from typing import Protocol

from sassafraspin.errors import SassafraspinError

__all__ = [
    "DataFolder",
    "DiskFull",
    "DiskReadOnly",
    "Files",
    "StorageError",
]

_TEMPORARY_SUFFIX = ".tmp"


class StorageError(SassafraspinError):
    """A file could not be read or written durably."""


class DiskFull(StorageError):
    """The disk or the quota is full."""


class DiskReadOnly(StorageError):
    """The disk is read-only or write permission is missing."""


class Files(Protocol):
    """Interface of a folder for durable storage."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it to disk.

        After an error, any part of the bytes may be in the file, and what it holds may
        not be durable. It must be replaced before the next append.
        """

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file durably; a crash leaves either the old or the new content."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""


class DataFolder:
    """Folder on the local file system.

    Parameters
    ----------
    path : Path
        Path of the folder; it is created if its parent exists.

    Raises
    ------
    StorageError
        If the folder cannot be created.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._open_files: dict[str, int] = {}
        try:
            path.mkdir(exist_ok=True)
        except OSError as error:
            raise _to_storage_error(error) from error

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it does not exist."""
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise _to_storage_error(error) from error

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it to disk."""
        try:
            descriptor = self._descriptor(name)
            _write_all(descriptor, data)
            os.fdatasync(descriptor)
        except OSError as error:
            # The next append syncs the folder again, should that have failed here.
            self._close(name)
            raise _to_storage_error(error) from error

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file durably; a crash leaves either the old or the new content."""
        temporary = self._path / (name + _TEMPORARY_SUFFIX)
        try:
            self._close(name)
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._path / name)
            self._sync_folder()
        except OSError as error:
            raise _to_storage_error(error) from error

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        try:
            self._close(name)
            (self._path / name).unlink(missing_ok=True)
            self._sync_folder()
        except OSError as error:
            raise _to_storage_error(error) from error

    def close(self) -> None:
        """Close every open file."""
        for name in list(self._open_files):
            self._close(name)

    def _descriptor(self, name: str) -> int:
        descriptor = self._open_files.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            descriptor = os.open(self._path / name, flags, 0o600)
            self._open_files[name] = descriptor
            self._sync_folder()
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _to_storage_error(error: OSError) -> StorageError:
    message = f"{error.filename or 'data folder'}: {error.strerror}"
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return DiskFull(message)
    if error.errno in (errno.EROFS, errno.EACCES, errno.EPERM):
        return DiskReadOnly(message)
    return StorageError(message)
