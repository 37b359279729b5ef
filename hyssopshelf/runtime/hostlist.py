"""Adapter of the platform's list of hosts."""

import json

import attrs
import result
import tornado.httpclient

from hyssopshelf import exceptions, messages, platform

READ_TIMEOUT_SECONDS = 2.0
"""Time after which a read is given up; the next one follows within seconds."""


@attrs.define(kw_only=True)
class HostListAdapter:
    """Reads the list of hosts.

    Parameters
    ----------
    url : str
        Base of the list's address, such as ``http://10.0.0.5:8500``.
    timeout_seconds : float
        Time after which a read fails.
    """

    url: str
    timeout_seconds: float = READ_TIMEOUT_SECONDS
    _client: tornado.httpclient.AsyncHTTPClient | None = attrs.field(
        default=None, init=False
    )

    async def read(self) -> result.Result[tuple[platform.HostEntry, ...], str]:
        """Read the list.

        Returns
        -------
        Ok(tuple of HostEntry)
            The rows of the list.
        Err(str)
            The list did not answer in time or not as expected.
        """
        if self._client is None:
            self._client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        try:
            response = await self._client.fetch(
                f"{self.url}/v1/hosts",
                connect_timeout=self.timeout_seconds,
                request_timeout=self.timeout_seconds,
            )
            rows = json.loads(response.body)["hosts"]
            hosts = messages.structure(rows, tuple[platform.HostEntry, ...])
        except (tornado.httpclient.HTTPError, OSError) as error:
            return result.Err(f"host list did not answer: {error}")
        except (ValueError, KeyError, TypeError, exceptions.CodecError) as error:
            return result.Err(f"host list answered with malformed rows: {error!r}")
        return result.Ok(hosts)

    def close(self) -> None:
        """Release the client."""
        if self._client is not None:
            self._client.close()
            self._client = None
