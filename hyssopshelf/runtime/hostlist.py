"""Client of the platform's host list."""

import json

import attrs
import result
import tornado.httpclient

from hyssopshelf import exceptions, kvstore, messages

READ_TIMEOUT_SECONDS = 2.0
"""Timeout of a read, in seconds; the next read follows within seconds."""


@attrs.define(kw_only=True)
class HostListAdapter:
    """Reads the platform's host list over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the host list, such as ``http://10.0.0.5:8500``.
    timeout_seconds : float
        Timeout of a read, in seconds.
    """

    url: str
    timeout_seconds: float = READ_TIMEOUT_SECONDS
    _client: tornado.httpclient.AsyncHTTPClient | None = attrs.field(
        default=None, init=False
    )

    async def read(self) -> result.Result[tuple[kvstore.HostEntry, ...], str]:
        """Read the host list.

        Returns
        -------
        Ok(tuple of HostEntry)
            All hosts of the list.
        Err(str)
            The request failed, timed out or had a malformed response.
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
            hosts = messages.structure(rows, tuple[kvstore.HostEntry, ...])
        except (tornado.httpclient.HTTPError, OSError) as error:
            return result.Err(f"cannot read the host list: {error}")
        except (ValueError, KeyError, TypeError, exceptions.CodecError) as error:
            return result.Err(f"malformed response of the host list: {error!r}")
        return result.Ok(hosts)

    def close(self) -> None:
        """Close the HTTP client."""
        if self._client is not None:
            self._client.close()
            self._client = None
