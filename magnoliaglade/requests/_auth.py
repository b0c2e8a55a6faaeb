"""Authentication of client accounts."""

import hashlib
import hmac

from magnoliaglade import configuration as configuration_lib
from magnoliaglade.requests import _errors
from magnoliaglade.types import AccountId

_SCHEME = "bearer"
# Compared for unknown accounts, so that both cases take the same steps. No
# key has this digest, because it is no hexadecimal number.
_NO_DIGEST = "-" * 64


def authenticate(
    configuration: configuration_lib.Configuration, authorization: str
) -> AccountId:
    """Returns the account of `Bearer <account>:<key>` credentials.

    Raises:
        AuthenticationError: the credentials are malformed or wrong; the
            message does not tell an unknown account from a wrong key.
    """
    scheme, _, token = authorization.partition(" ")
    name, separator, key = token.strip().partition(":")
    account = configuration.account(AccountId(name))
    expected = _NO_DIGEST if account is None else account.key_digest
    given = hashlib.sha256(key.encode(errors="replace")).hexdigest()
    is_equal = hmac.compare_digest(given.encode(), expected.lower().encode())
    is_well_formed = scheme.lower() == _SCHEME and bool(separator)
    if not (is_equal and is_well_formed):
        raise _errors.AuthenticationError("credentials are not valid")
    return AccountId(name)
