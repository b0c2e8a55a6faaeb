"""Steps of a change and of a zone command, used by the fault matrix."""

import enum


class ConfigurationStep(enum.Enum):
    """Steps of an accepted change, in order.

    The value is the call point: the called component or method, and the key or
    message that is read or sent.
    """

    READ_BASE = "get:config/current"
    READ_MARKER = "get:config/marker"
    READ_HISTORY = "get:config/history"
    MARK = "put:config/marker"
    PUBLISH = "put:config/current"
    RECORD = "put:config/history"
    REREAD = "reader:config/current"
    ANNOUNCE = "broadcast:ConfigUpdate"
    FETCH = "peer:ConfigRequest"
    APPLY = "listener:apply"


class ZoneStep(enum.Enum):
    """Steps of a zone's removal and return, in order."""

    SPREAD_REMOVAL = "remove:ZoneIntent"
    RECORD_REMOVAL = "remove:config/commands"
    MARK_REMOVAL = "remove:config/marker"
    STORE_REMOVAL = "remove:config/current"
    SPREAD_RETURN = "return:ZoneIntent"
    RECORD_RETURN = "return:config/commands"
    MARK_RETURN = "return:config/marker"
    STORE_RETURN = "return:config/current"
