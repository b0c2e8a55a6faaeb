"""Data classes of an accepted revision and of a pending write."""

import dataclasses

from magnoliaglade import store as store_lib
from magnoliaglade.configuration import _codec, _errors, _schema


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredConfiguration:
    """An accepted configuration.

    Attributes:
        configuration: the configuration.
        stamp: identity of the write that made it current.
        store_revision: revision of the key in the store; 0 if it did not come
            from the store.
    """

    configuration: _schema.Configuration
    stamp: store_lib.Stamp
    store_revision: int = 0

    def to_bytes(self) -> bytes:
        """Returns the encoded configuration with its stamp."""
        body = _codec.encode(self.configuration)
        return store_lib.pack_stamped(body, stamp=self.stamp)

    @classmethod
    def from_bytes(
        cls, data: bytes, *, source: str, store_revision: int = 0
    ) -> "StoredConfiguration":
        """Decodes a stamped configuration.

        Raises:
            InvalidConfigurationError: the value is not a stamped
                configuration.
        """
        try:
            body, stamp = store_lib.unpack_stamped(data)
        except store_lib.StoreError as error:
            raise _errors.InvalidConfigurationError(
                source=source,
                path="",
                found=str(error),
                allowed="a stamped configuration",
            ) from error
        return cls(
            configuration=_codec.decode(
                _schema.Configuration, body, source=source
            ),
            stamp=stamp,
            store_revision=store_revision,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingWrite:
    """A write of `config/current` whose outcome may be unknown.

    Attributes:
        configuration: the configuration to make current.
        base: revision from which it was made; 0 if it is the first one.
        expected: store revision of the key that the write replaces.
        stamp: identity of the write.
    """

    configuration: _schema.Configuration
    base: int
    expected: int
    stamp: store_lib.Stamp
